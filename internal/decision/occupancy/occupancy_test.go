package occupancy

import (
	"fmt"
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

const ms = time.Millisecond

var owner = ident.Process{Instance: "entry", Incarnation: 7}

func machine(capacity int64) *Machine {
	m := New(Config{})
	m.SetWorker(0, Worker{ID: "w", Born: 1, Capacity: work.Resources{MilliCPU: capacity}})
	m.SetOpen(0, true)
	m.Looked(0, Look{})
	return m
}

func request(job string, need int64, rank int) wire.RunRequest {
	return wire.RunRequest{
		Run:  work.RunID{Task: work.TaskID{Job: job}, Attempt: 1},
		Need: work.Resources{MilliCPU: need}, Rank: rank, EstimateMs: 100, MaxWaitMs: 200,
	}
}

func orders(m *Machine) (ids []work.RunID) {
	for _, a := range m.Actions() {
		if o, ok := a.(Order); ok {
			ids = append(ids, o.Run)
		}
	}
	return ids
}

// Guards against urgent runs behind others in the queue, and against small runs
// that overtake a large one of their rank for ever.
func TestQueueOrder(t *testing.T) {
	m := machine(4)
	m.Submit(0, owner, []wire.RunRequest{request("full", 4, 2)})
	full := orders(m)
	m.Submit(0, owner, []wire.RunRequest{request("late", 1, 2), request("large", 4, 0), request("small", 1, 0)})
	if got := orders(m); len(got) != 0 {
		t.Fatalf("started without room: %v", got)
	}
	m.Ordered(ms, full[0], Accepted, "")
	m.Looked(2*ms, Look{Asked: ms, Ended: []Ended{{Run: full[0], Outcome: work.Done}}})
	if got := orders(m); len(got) != 1 || got[0].Task.Job != "large" {
		t.Errorf("started %v, want the large urgent run alone", got)
	}
}

// Guards against runs that wait although they are to start at once, that come
// back although there is room, or that come back and start later.
func TestAtOnce(t *testing.T) {
	m := machine(4)
	first, second, third := request("first", 3, 1), request("second", 3, 0), request("third", 1, 1)
	for _, r := range []*wire.RunRequest{&first, &second, &third} {
		r.NoWait = true
	}
	m.Submit(0, owner, []wire.RunRequest{first, second, third})
	var started, back []string
	for _, a := range m.Actions() {
		switch a := a.(type) {
		case Order:
			started = append(started, a.Run.Task.Job)
		case Report:
			if a.End.Outcome != work.NoRoom {
				t.Errorf("%s came back as %v", a.End.Run.Task.Job, a.End.Outcome)
			}
			back = append(back, a.End.Run.Task.Job)
		}
	}
	if fmt.Sprint(started) != "[second third]" || fmt.Sprint(back) != "[first]" {
		t.Errorf("started %v, came back %v", started, back)
	}
	m.Ordered(ms, second.Run, Rejected, "")
	if got := orders(m); len(got) != 0 {
		t.Errorf("started after it came back: %v", got)
	}
}

// Guards against runs that start after their owner is gone, and against room
// that is given away before their ends are known.
func TestOwnerGone(t *testing.T) {
	m := machine(4)
	m.Submit(0, owner, []wire.RunRequest{request("a", 4, 0), request("b", 4, 0)})
	m.Ordered(ms, orders(m)[0], Accepted, "")
	if n := len(m.OwnerGone(2*ms, owner)); n != 2 {
		t.Errorf("%d runs dropped, want 2", n)
	}
	if !m.Holds(owner) || m.Used().MilliCPU != 4 {
		t.Error("the room is free although the run may be at work")
	}
	for _, a := range m.Actions() {
		if _, told := a.(Report); told {
			t.Error("a gone owner is told")
		}
	}
	run := work.RunID{Task: work.TaskID{Job: "a"}, Attempt: 1}
	m.StopConfirmed(3*ms, run)
	m.Looked(5*ms, Look{Asked: 2 * ms})
	if !m.Holds(owner) {
		t.Error("a look asked for before the stop proves nothing")
	}
	m.Looked(7*ms, Look{Asked: 4 * ms})
	if m.Holds(owner) || m.Used().MilliCPU != 0 {
		t.Error("the run is held after its end")
	}
}

// Guards against starts beside runs that an earlier process ordered, whose room
// nobody knows.
func TestStrangers(t *testing.T) {
	m := New(Config{})
	m.SetWorker(0, Worker{ID: "w", Born: 1, Capacity: work.Resources{MilliCPU: 4}})
	m.SetOpen(0, true)
	stranger := work.RunID{Task: work.TaskID{Job: "old"}, Attempt: 3}
	m.Looked(0, Look{Running: []Progress{{Run: stranger}}})
	if m.Ready() {
		t.Fatal("open beside a stranger")
	}
	stops := 0
	for now := time.Duration(0); now < 400*ms; now += 10 * ms {
		m.Tick(now)
		for _, a := range m.Actions() {
			if s, ok := a.(Stop); ok && s.Run == stranger {
				stops++
			}
		}
	}
	if stops < 3 {
		t.Errorf("an unanswered stop was sent %d times", stops)
	}
	m.Looked(time.Second, Look{Asked: time.Second})
	if !m.Ready() {
		t.Error("closed although the stranger is gone")
	}
}

// Guards against runs that stand still until the deadline of their job.
func TestStalled(t *testing.T) {
	m := machine(4)
	m.Submit(0, owner, []wire.RunRequest{request("a", 1, 0)})
	id := orders(m)[0]
	m.Ordered(ms, id, Accepted, "")
	m.Looked(100*ms, Look{Asked: 50 * ms, Running: []Progress{{Run: id, Percent: 3}}})
	// Figures that go to and fro are no progress.
	for now := 150 * ms; now < 500*ms; now += 50 * ms {
		m.Looked(now, Look{Asked: now - ms, Running: []Progress{{Run: id, Percent: int(now/(50*ms)) % 4}}})
	}
	m.Tick(300 * ms)
	if len(m.Actions()) > 0 {
		t.Error("stopped while it may make progress")
	}
	m.Tick(100*ms + DefaultStallAfter)
	if len(m.Actions()) == 0 {
		t.Fatal("a run without progress goes on")
	}
	m.Looked(time.Second, Look{Asked: 900 * ms, Ended: []Ended{{Run: id, Outcome: work.Lost}}})
	for _, a := range m.Actions() {
		if r, ok := a.(Report); ok && r.End.Outcome != work.Stalled {
			t.Errorf("reported as %v", r.End.Outcome)
		}
	}
	if l := m.Load(time.Second); !l.Suspect {
		t.Error("the worker is not suspect")
	}
}

// Guards against workers taken for bad because of one job that can't be done.
func TestHealth(t *testing.T) {
	m := machine(100)
	fail := func(job string, n int) {
		for i := range n {
			q := request(job, 1, 0)
			q.Run.Task.Index = i
			m.Submit(0, owner, []wire.RunRequest{q})
			for _, id := range orders(m) {
				m.Ordered(0, id, Accepted, "")
				m.Looked(ms, Look{Ended: []Ended{{Run: id, Outcome: work.RunFailed}}})
			}
		}
	}
	fail("poison", 20)
	if m.Load(ms).Suspect {
		t.Error("suspect because of one job")
	}
	for i := range suspectAfter {
		fail(fmt.Sprint("job", i), 1)
	}
	if !m.Load(ms).Suspect {
		t.Error("not suspect after several jobs failed in a row")
	}
	if l := m.Load(ms + suspectFor); l.Suspect || !l.Probe {
		t.Errorf("after the pause: %+v, want a probe", l)
	}
}

// Guards against two runs of a task for two owners: the caller submitted the
// job again elsewhere.
func TestSecondOwner(t *testing.T) {
	m := machine(10)
	m.Submit(0, owner, []wire.RunRequest{request("a", 1, 0)})
	id := orders(m)[0]
	m.Ordered(ms, id, Accepted, "")
	other := ident.Process{Instance: "other"}
	m.Submit(2*ms, other, []wire.RunRequest{request("a", 1, 0)})
	var stopped, refused bool
	for _, a := range m.Actions() {
		switch a := a.(type) {
		case Order:
			t.Error("the second run starts while the first is at work")
		case Stop:
			stopped = true
		case Report:
			refused = a.Owner == other && a.End.Outcome == work.NotRun
		}
	}
	if !stopped || !refused {
		t.Errorf("stopped %v, refused %v", stopped, refused)
	}
}

// Guards against a worker that was slow for a while and, because it gets no
// work, is taken for slow for ever.
func TestSlownessRelaxes(t *testing.T) {
	m := machine(100)
	now := time.Duration(0)
	for i := range 100 {
		q := request(fmt.Sprint(i), 1, 0)
		m.Submit(now, owner, []wire.RunRequest{q})
		m.Ordered(now, orders(m)[0], Accepted, "")
		now += 600 * ms
		m.Looked(now, Look{Asked: now, Ended: []Ended{{Run: q.Run, Outcome: work.Done}}})
	}
	if got := m.Load(now).Slowness; got < 4 {
		t.Fatalf("slowness %.2f after runs that took six times as long", got)
	}
	if got := m.Load(now + 10*time.Second).Slowness; got > 1.1 {
		t.Errorf("slowness %.2f after 10 s without a run", got)
	}
}
