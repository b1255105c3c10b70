package model

import (
	"fmt"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/work"
)

const (
	// maxHold is the longest lease that a worker grants.
	maxHold = time.Second
	// stopTimeout is the longest time that a stopped run takes to end.
	stopTimeout = 50 * ms
	// reportInterval is the time between two reports of a worker.
	reportInterval = 1500 * ms
)

// worker runs tasks under leases. It outlives the processes of its sidecar, and may crash
// and come back as a new life that knows nothing of the earlier one.
type worker struct {
	world *world
	index int
	// life counts the lives. A connection belongs to one of them.
	life int
	up   bool
	// id and born identify a life to others; id may be that of the life before.
	id       string
	born     int64
	sequence uint64
	// bornAt and rate define the clock of the worker, which begins at zero.
	bornAt time.Duration
	rate   float64

	running map[work.RunID]*runningTask
	highest map[work.TaskID]int
	ended   []endedTask
	lastEnd uint64
	token   int64 // highest fencing token seen
	// leaseEnd is the end of all leases, on the worker's clock.
	leaseEnd time.Duration

	// answeredAt is the time of the first status of this life, zero before it.
	answeredAt time.Duration

	// stalled is true while the worker stands still; later holds the calls of that time.
	stalled bool
	later   []func()
	// Until lateUntil some calls are carried out seconds later and get no answer. Until
	// slowUntil runs and answers take longer.
	lateUntil, slowUntil time.Duration
	// Until busyUntil the worker turns nine of ten calls away, and all stop calls until
	// stopsRefusedUntil, while its runs go on.
	busyUntil, stopsRefusedUntil time.Duration
	// closedUntil is the time until which it refuses connections, while its runs go on.
	closedUntil time.Duration
}

type runningTask struct{ stopping bool }

type endedTask struct {
	number  uint64
	run     work.RunID
	outcome work.Outcome
}

func (k *worker) name() string { return fmt.Sprint("worker-", k.index) }

func (k *worker) clock() time.Duration {
	return time.Duration(float64(k.world.now-k.bornAt) * k.rate)
}

// begin begins a life.
func (k *worker) begin(id string) {
	w := k.world
	k.life++
	k.id, k.born, k.sequence, k.bornAt, k.rate = id, (epoch + w.now).Milliseconds(), 0, w.now, 1-0.02*w.rnd.Float64()
	k.running, k.highest = map[work.RunID]*runningTask{}, map[work.TaskID]int{}
	k.ended, k.lastEnd, k.token, k.leaseEnd, k.answeredAt = nil, 0, 0, 0, 0
	k.stalled, k.later, k.up = false, nil, true
	life := k.life
	w.after(w.random(0, 300*ms), func() { k.report(life) })
}

// crash ends the life; the next one begins after a delay. It reports whether there was
// one.
func (k *worker) crash(delay time.Duration, sameID bool) bool {
	if !k.up {
		return false
	}
	w := k.world
	w.note("%s crashes for %v, same identifier %v", k.name(), delay, sameID)
	k.up = false
	clear(k.running)
	id := k.id
	if !sameID {
		id = fmt.Sprintf("%s-%d", k.name(), k.life+1)
	}
	w.after(delay, func() { k.begin(id) })
	return true
}

// report sends reports to the sidecar until the life ends.
func (k *worker) report(life int) {
	if k.life != life || !k.up {
		return
	}
	k.sequence++
	r := report{k.id, k.born, k.sequence}
	w := k.world
	link := [2]string{k.name(), fmt.Sprint("side-", k.index)}
	deliver := func() {
		s := w.sidecars[k.index]
		s.do(func() { s.handleReport(r) })
	}
	w.after(w.random(0, 2*ms), func() { w.deliver(link, deliver) })
	w.after(reportInterval, func() { k.report(life) })
}

// do carries out a call of a connection to a life, at once or when the worker wakes.
func (k *worker) do(life int, f func()) {
	switch {
	case !k.up || k.life != life:
	case k.stalled:
		k.later = append(k.later, f)
	default:
		f()
	}
}

// doLate carries out a call to a life, seconds late. If that life has ended meanwhile, the
// present one carries out the call, but not before its sidecar has learned of it: nothing
// could prevent that.
func (k *worker) doLate(life int, f func()) {
	const noticeTime = 200 * ms
	if k.life != life && k.answeredAt > 0 && k.world.now > k.answeredAt+noticeTime {
		life = k.life
	}
	k.do(life, f)
}

// stall lets the worker stand still, and reports whether it was at work.
func (k *worker) stall(d time.Duration) bool {
	if k.stalled || !k.up {
		return false
	}
	w, life := k.world, k.life
	w.note("%s stands still for %v", k.name(), d)
	k.stalled = true
	w.after(d, func() {
		if k.life != life || !k.up {
			return
		}
		k.stalled = false
		later := k.later
		k.later = nil
		w.rnd.Shuffle(len(later), func(i, j int) { later[i], later[j] = later[j], later[i] })
		for _, f := range later {
			f()
		}
	})
	return true
}
