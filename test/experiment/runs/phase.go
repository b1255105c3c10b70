package runs

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/test/experiment/cluster"
	"github.com/cardamomturn/cardamomturn/test/experiment/history"
	"github.com/cardamomturn/cardamomturn/test/experiment/load"
)

const (
	observeEvery = 10 * time.Millisecond
	// delayMargin is added to the configured delays for the timers and the
	// scheduler of the machine.
	delayMargin = 20 * time.Millisecond
	settleTime  = 8 * time.Second
)

// phase is one cluster under load.
type phase struct {
	run     *run
	d       load.Deployment
	c       cluster.Cluster
	rec     *history.Recorder
	callers *cluster.Callers
	doc     *resource.Document
	begin   time.Duration // start of the load on the recorder's clock
	stop    chan struct{}
	watch   sync.WaitGroup

	mu    sync.Mutex // guards trace
	trace []load.TraceLine
}

// start starts a cluster and observes its configuration until close.
func (r *run) start(d load.Deployment, doc *resource.Document) (*phase, error) {
	rec := history.NewRecorder()
	c, err := r.New(cluster.Options{Deployment: d, Document: doc, Recorder: rec})
	if err != nil {
		return nil, errors.Annotate(err, "start the cluster")
	}
	p := &phase{run: r, d: d, c: c, rec: rec, doc: doc, begin: rec.Now(), stop: make(chan struct{})}
	var addresses []string
	for i := range d.Entries {
		addresses = append(addresses, c.CallerAddress(i))
	}
	p.callers = cluster.NewCallers(addresses, rec)
	r.rep.Sizes["workers"], r.rep.Sizes["slots"] = float64(d.Workers), float64(d.TotalSlots())
	r.rep.Sizes["entries"], r.rep.Sizes["zones"] = float64(d.Entries), float64(d.Zones)
	p.watch.Add(1)
	go p.observe()
	return p, nil
}

// observe records the lives and the revisions of all processes.
func (p *phase) observe() {
	defer p.watch.Done()
	live := map[string]uint64{}
	tick := time.NewTicker(observeEvery)
	defer tick.Stop()
	for {
		now := map[string]bool{}
		for _, v := range p.c.Processes() {
			now[v.Incarnation] = true
			old, known := live[v.Incarnation]
			if !known {
				p.rec.Add(history.Event{Type: history.Up, Process: v.Incarnation})
			}
			if v.Revision != old {
				p.rec.Add(history.Event{Type: history.Observe, Process: v.Incarnation, Revision: v.Revision})
			}
			live[v.Incarnation] = v.Revision
		}
		for name := range live {
			if !now[name] {
				p.rec.Add(history.Event{Type: history.Down, Process: name})
				delete(live, name)
			}
		}
		select {
		case <-p.stop:
			return
		case <-tick.C:
		}
	}
}

// newest is the highest revision in force at any live process.
func (p *phase) newest() uint64 {
	var top uint64
	for _, v := range p.c.Processes() {
		top = max(top, v.Revision)
	}
	return top
}

// now is the time since the start of the load.
func (p *phase) now() time.Duration { return p.rec.Now() - p.begin }

// sleepUntil sleeps until a time since the start of the load.
func (p *phase) sleepUntil(at time.Duration) { time.Sleep(at - p.now()) }

func (p *phase) note(l load.TraceLine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.AtUs = p.now().Microseconds()
	p.trace = append(p.trace, l)
}

// drive submits the jobs at their times and returns their outcomes when all
// have ended; those still open after the settle time are canceled.
func (p *phase) drive(jobs []load.Arrival) []cluster.Outcome {
	outcomes := make([]cluster.Outcome, len(jobs))
	var wg sync.WaitGroup
	for i, a := range jobs {
		p.sleepUntil(a.At)
		p.note(load.ArrivalLine(a))
		wg.Add(1)
		go func() {
			defer wg.Done()
			outcomes[i] = p.callers.Submit(a, p.doc.Kinds[a.Kind].Spec.Idempotent)
			p.note(stated(outcomes[i]))
		}()
	}
	p.sleepUntil(p.run.Duration)
	timer := time.AfterFunc(p.run.Settle, p.callers.CancelUnanswered)
	defer timer.Stop()
	wg.Wait()
	return outcomes
}

func stated(o cluster.Outcome) load.TraceLine {
	s := &load.TraceOutcome{Request: o.Request, State: o.Answer.State, NotRun: o.Answer.NotRun, Reason: o.Answer.Reason}
	for _, t := range o.Answer.Tasks {
		if t.State == jobapi.TaskCompleted {
			s.Completed++
		}
	}
	return load.TraceLine{Type: load.LineOutcome, Outcome: s}
}

// fault applies a control action and records it.
func (p *phase) fault(action string, role cluster.Role, i int) error {
	name := cluster.ProcessName(role, i)
	switch action {
	case "stop":
		p.rec.Add(history.Event{Type: history.Shutdown, Process: name})
	case "kill", "pause":
		p.rec.Add(history.Event{Type: history.Fault, Process: name})
		for _, v := range p.c.Processes() {
			if v.Role == role && v.Index == i {
				p.rec.Add(history.Event{Type: history.Fault, Process: v.Incarnation})
			}
		}
	}
	p.note(load.TraceLine{Type: load.LineFault, Fault: &load.TraceFault{Action: action, Target: string(role), Index: i}})
	do := map[string]func(cluster.Role, int) error{
		"start": p.c.Start, "stop": p.c.Stop, "kill": p.c.Kill, "pause": p.c.Pause, "resume": p.c.Resume,
	}[action]
	return errors.Annotatef(do(role, i), "%s %s", action, name)
}

// edit applies an operator's edit at an entry instance.
func (p *phase) edit(o *cluster.Operator, entry int, e cluster.Edit) (history.Edit, error) {
	spec, err := json.Marshal(e.Spec)
	if err != nil {
		return history.Edit{}, errors.Trace(err)
	}
	p.note(load.TraceLine{Type: load.LineEdit, Edit: &load.TraceEdit{
		Type: string(e.Type), Name: e.Name, Spec: spec, AllowDecrease: e.AllowDecrease}})
	return o.Apply(p.c.OperatorAddress(entry), e)
}

// close ends the cluster, checks the history and keeps the trace.
func (p *phase) close() (*history.History, error) {
	close(p.stop)
	p.watch.Wait()
	h := p.rec.History()
	bounds := history.Bounds{
		OneWay:  p.d.ClientDelay + p.d.ZoneDelay + delayMargin,
		InForce: history.DefaultInForceBound,
	}
	p.run.rep.Violations = append(p.run.rep.Violations, history.Check(h, bounds)...)
	header := &load.TraceHeader{Format: load.TraceFormat, Name: p.run.name, Seed: p.run.Seed, Deployment: p.d.Name}
	for _, k := range p.d.Kinds {
		if k.Name == p.d.FloodKind && p.d.Name == "torno" {
			header.FloodUrgency = k.Urgency
		}
	}
	p.run.trace = append([]load.TraceLine{{Type: load.LineHeader, Header: header}}, p.trace...)
	return h, errors.Annotate(p.c.Close(), "close the cluster")
}

// measure runs one cluster under a load without faults.
func (r *run) measure(d load.Deployment, jobs []load.Arrival) ([]cluster.Outcome, *history.History, error) {
	p, err := r.start(d, d.Document())
	if err != nil {
		return nil, nil, err
	}
	before := p.c.Counters()
	out := p.drive(jobs)
	spent := p.c.Counters().Minus(before)
	r.rep.Figure(d.Name+".wastedPerStart", share(int(spent.WastedMessages), int(spent.Starts)))
	r.wasteByCause(d.Name, spent)
	h, err := p.close()
	return out, h, err
}
