package locality

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// task returns a task of 100 ms near and 150 ms away, with room away and a wait near.
func task(nearWait time.Duration) Task {
	return Task{Near: Place{nearWait, 100 * ms}, Away: Place{0, 150 * ms}, Margin: 1, MilliCPU: 1000, Objective: time.Second, Deadline: 2 * time.Second, MaxWait: -1}
}

// Guards against waits that can't pay, waits beyond the objective or the deadline, and places
// on a rack that are taken from tasks that gain there.
func TestDecide(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Task)
		rest   time.Duration
		want   Choice
		until  time.Duration
	}{
		"room near":                          {func(t *Task) { t.Near.Wait = 0 }, 0, Near, 0},
		"a short wait":                       {func(*Task) {}, 0, Wait, 50 * ms},
		"a wait as long as the gain":         {func(t *Task) { t.Near.Wait = 50 * ms }, 0, Elsewhere, 0},
		"an uncertain wait":                  {func(t *Task) { t.Margin = 6 }, 0, Elsewhere, 0},
		"a job that lasts longer":            {func(*Task) {}, 200 * ms, Elsewhere, 0},
		"a job that gains a part":            {func(*Task) {}, 130 * ms, Wait, 50 * ms},
		"room near, nothing to gain":         {func(t *Task) { t.Near.Wait = 0 }, 200 * ms, Near, 0},
		"room near that others want":         {func(t *Task) { t.Near.Wait, t.Contended = 0, true }, 200 * ms, Elsewhere, 0},
		"a tight objective":                  {func(t *Task) { t.Objective = 170 * ms }, 0, Wait, 20 * ms},
		"an objective that ends away":        {func(t *Task) { t.Objective = 155 * ms }, 0, Elsewhere, 0},
		"an objective that only near meets":  {func(t *Task) { t.Objective = 140 * ms }, 0, Wait, 40 * ms},
		"an objective that nothing meets":    {func(t *Task) { t.Objective = 90 * ms }, 0, Elsewhere, 0},
		"a tight deadline":                   {func(t *Task) { t.Deadline = 165 * ms }, 0, Wait, 15 * ms},
		"a wait that has lasted":             {func(t *Task) { t.MaxWait = 12 * ms }, 0, Wait, 12 * ms},
		"a wait that is over":                {func(t *Task) { t.MaxWait = 0 }, 0, Elsewhere, 0},
		"a place in a queue, soon free":      {func(t *Task) { t.Queued = true }, 0, AsPlanned, 0},
		"a place in a queue, later free":     {func(t *Task) { t.Queued, t.Contended, t.Near.Wait = true, true, 35*ms }, 0, Wait, 50 * ms},
		"a place in a queue, first in it":    {func(t *Task) { t.Queued, t.Urgent, t.Near.Wait = true, true, 30*ms }, 0, AsPlanned, 0},
		"a place in a queue, nothing gained": {func(t *Task) { t.Queued, t.Contended = true, true }, 200 * ms, Elsewhere, 0},
		"an even rack, later free":           {func(t *Task) { t.Queued, t.Near.Wait = true, 35*ms }, 0, AsPlanned, 0},
		"an even rack, nothing gained":       {func(t *Task) { t.Queued = true }, 200 * ms, AsPlanned, 0},
		"an even rack, sooner elsewhere":     {func(t *Task) { t.Queued, t.Near.Wait = true, 55*ms }, 0, Elsewhere, 0},
	} {
		one := task(10 * ms)
		c.change(&one)
		got := Decide(&Job{Rest: c.rest, Tasks: []Task{one}})[0]
		if got.Choice != c.want || c.want == Wait && got.Until != c.until {
			t.Errorf("%s: %+v, want choice %d until %v", name, got, c.want, c.until)
		}
	}
}

// Guards against a job of which some tasks wait although one that can't gain ends last.
func TestLastTaskDecides(t *testing.T) {
	slow := task(10 * ms)
	slow.Near.Wait = 60 * ms
	for i, d := range Decide(&Job{Tasks: []Task{task(10 * ms), slow, task(10 * ms)}}) {
		if d.Choice != Elsewhere {
			t.Errorf("task %d: %+v", i, d)
		}
	}
}

// Guards against large jobs that wait before small ones which gain as much with less room.
func TestPriority(t *testing.T) {
	one := Decide(&Job{Tasks: []Task{task(10 * ms)}})
	three := Decide(&Job{Tasks: []Task{task(10 * ms), task(10 * ms), task(10 * ms)}})
	if one[0].Priority < 2.9*three[0].Priority {
		t.Errorf("priority %.1f of one task, %.1f of three", one[0].Priority, three[0].Priority)
	}
}

// drawDuration draws a time of up to a second.
func drawDuration(t *rapid.T, name string) time.Duration {
	return time.Duration(rapid.Int64Range(0, 1000).Draw(t, name)) * ms
}

func drawTask(t *rapid.T) Task {
	run := drawDuration(t, "run") + ms
	return Task{
		Near: Place{drawDuration(t, "near wait"), run}, Away: Place{0, time.Duration(float64(run) * rapid.Float64Range(1, 4).Draw(t, "factor"))},
		Margin: rapid.Float64Range(1, 4).Draw(t, "margin"), MilliCPU: rapid.Int64Range(0, 64000).Draw(t, "need"), Tail: drawDuration(t, "tail"),
		Objective: drawDuration(t, "objective") - 100*ms, Deadline: drawDuration(t, "deadline"), MaxWait: drawDuration(t, "limit") - ms,
		Queued: rapid.Bool().Draw(t, "queued"), Urgent: rapid.Bool().Draw(t, "urgent"), Contended: rapid.Bool().Draw(t, "contended"),
	}
}

// Guards against a wait that is not expected to pay, that lasts beyond the objective or the
// deadline, or that a longer wait near or a longer rest of the job would bring about.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		job := &Job{Rest: drawDuration(t, "rest"), Tasks: rapid.SliceOfN(rapid.Custom(drawTask), 1, 6).Draw(t, "tasks")}
		decisions := Decide(job)
		for i, d := range decisions {
			task := &job.Tasks[i]
			if d.Choice == Wait {
				checkWait(t, job, task, d)
			}
			if d.Choice == Near && task.Near.Wait > 0 {
				t.Fatalf("task %d takes room near that is not there", i)
			}
		}
		longer := *job
		longer.Rest = job.Rest + drawDuration(t, "longer")
		for i, d := range Decide(&longer) {
			if d.Choice == Wait && decisions[i].Choice != Wait {
				t.Fatalf("task %d waits because the rest of the job lasts longer", i)
			}
		}
	})
}

// checkWait checks a task that waits.
func checkWait(t *rapid.T, job *Job, task *Task, d Decision) {
	margined := time.Duration(task.Margin * float64(task.Near.Wait))
	away := task.Away.end()
	switch {
	case margined+task.Near.RunTime >= away:
		t.Fatalf("%+v waits without a gain", task)
	case margined >= d.Until:
		t.Fatalf("%+v waits until %v, before room is expected", task, d.Until)
	case d.Until+task.Near.RunTime > away:
		t.Fatalf("%+v waits until %v, when it can't gain any more", task, d.Until)
	case d.Until+away > task.Deadline:
		t.Fatalf("%+v waits until %v, too long for its deadline", task, d.Until)
	case away <= task.Objective && d.Until+away > task.Objective, d.Until+task.Near.RunTime > task.Objective:
		t.Fatalf("%+v waits until %v, too long for its objective", task, d.Until)
	case away+task.Tail <= job.Rest || d.Gain <= 0:
		t.Fatalf("%+v waits although its job ends later", task)
	case task.MaxWait >= 0 && d.Until > task.MaxWait:
		t.Fatalf("%+v waits until %v", task, d.Until)
	}
}

// Guards against a margin that falls with the age or the number of estimates.
func TestMargin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, age := rapid.IntRange(0, 1000).Draw(t, "n"), drawDuration(t, "age")
		if m := Margin(n, age); m < baseMargin || Margin(n+1, age) < m || Margin(n, age+ms) < m {
			t.Fatalf("margin %v of %d estimates of age %v", m, n, age)
		}
	})
}
