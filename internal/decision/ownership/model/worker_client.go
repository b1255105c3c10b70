package model

import "time"

// anyLife stands for the start time of a life in a call that may reach any.
const anyLife = 0

// callWorker makes a call to the worker and handles the result. A pause of the sidecar
// can come before the call and before the result. born is the start time of the life that the
// call is meant for: its connections lead to that life.
func (s *sidecarProcess) callWorker(kind messageKind, born int64, timeout time.Duration, execute func(), done func(callResult)) {
	c := &workerCall{sidecarProcess: s, kind: kind, decidedAt: s.world.now, execute: execute}
	if s.world.guards.connection {
		c.born = born
	}
	c.finish = func(r callResult) {
		if !c.finished {
			c.finished = true
			s.dropSilentOwners()
			done(r)
			s.step()
		}
	}
	w := s.world
	s.after(timeout, func() { c.finish(lost) })
	s.after(w.random(0, ms), func() {
		w.pass(kind.leaving(), func() { s.do(c.leave) })
	})
}

// workerCall is a call to a worker.
type workerCall struct {
	*sidecarProcess
	kind      messageKind
	born      int64
	decidedAt time.Duration
	execute   func()
	finish    func(callResult)
	finished  bool
}

// maxStartDelay is the time after the decision after which a start call is not made.
const maxStartDelay = 200 * ms

// links returns the links to the worker and back.
func (c *workerCall) links() (to, from [2]string) {
	return [2]string{c.id.Instance, c.worker.name()}, [2]string{c.worker.name(), c.id.Instance}
}

// leave sends the call on its way.
func (c *workerCall) leave() {
	w, k := c.world, c.worker
	if c.kind == msgStart && w.now-c.decidedAt > maxStartDelay && w.guards.startDelay {
		c.finish(refused)
		return
	}
	to, from := c.links()
	isCut := w.cut[to]+w.cut[from] > 0
	if (!k.up || w.now < k.closedUntil) && !isCut {
		c.after(ms, func() { c.finish(refused) })
		return
	}
	if c.born != anyLife && c.born != k.born && !isCut {
		c.after(ms, func() { c.finish(refused) }) // a new connection shows that another life answers
		return
	}
	// Behind a cut there is no connection to a life that began after the cut.
	if !isCut {
		c.connectedLife = k.life
	}
	life := c.connectedLife
	w.after(w.random(0, ms), func() {
		w.pass(c.kind, func() {
			w.deliver(to, func() { c.arrive(life) })
		})
	})
}

// arrive lets a life of the worker carry out the call and answer it.
func (c *workerCall) arrive(life int) {
	w, k := c.world, c.worker
	_, from := c.links()
	if c.born == anyLife && !c.finished && w.cut[from] == 0 {
		life = k.life // a call in flight may reach the next life
	}
	if w.now < k.lateUntil && w.rnd.Intn(2) == 0 {
		w.after(w.random(2*time.Second, 12*time.Second), func() { k.doLate(life, c.execute) })
		return
	}
	if w.now < k.busyUntil && w.rnd.Intn(10) > 0 || w.now < k.stopsRefusedUntil && c.kind == msgStop {
		w.after(w.random(0, 2*ms), func() { c.do(func() { c.finish(busy) }) })
		return
	}
	k.do(life, func() {
		c.execute()
		delay := w.random(0, 2*ms)
		if w.now < k.slowUntil {
			delay = w.random(0, 120*ms)
		}
		w.after(delay, func() {
			w.pass(c.kind.reply(), func() {
				if w.cut[from] == 0 {
					c.do(func() { c.finish(answered) })
				}
			})
		})
	})
}
