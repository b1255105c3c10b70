// Package slopes measures how the use of processor time, memory, messages and
// store calls grows with the size of a fleet of real processes, as fitted lines.
package slopes

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/resource"
)

// About describes the experiment, and Length is about how long it takes.
const (
	About  = "growth with the size of a fleet of real processes"
	Length = 4 * time.Minute
)

// Options are the choices of one run.
type Options struct {
	Seed uint64
	// Short selects fewer and smaller sizes and shorter windows; the figures
	// are then trials.
	Short bool
	// Progress is told what is measured next; it may be nil.
	Progress io.Writer
}

// Report holds all relations of one run.
type Report struct {
	Name      string     `json:"name"`
	Seed      uint64     `json:"seed"`
	Short     bool       `json:"short,omitempty"`
	Commit    string     `json:"commit"`
	Command   string     `json:"command"`
	TookS     float64    `json:"tookS"`
	Relations []Relation `json:"relations"`
}

type sizes struct {
	sidecars, entries  []int
	jobRates, jobTasks []int
	fixedJobs          float64
	queued, remembered []int
	// dropped are numbers of remembered submissions above those whose bodies
	// fit in the smallest bound.
	dropped             []int
	teams               []int
	edits               int
	window, storeWindow time.Duration
	// firstEntries is the number of entry instances beside which sidecars grow.
	firstEntries int
}

func sizesOf(short bool) sizes {
	s := sizes{
		sidecars: []int{10, 20, 40, 80, 120}, entries: []int{1, 2, 3, 4, 6},
		jobRates: []int{100, 200, 400, 800}, jobTasks: []int{10, 50, 100, 200}, fixedJobs: 30,
		queued: []int{0, 5000, 10000, 20000}, remembered: []int{0, 5000, 10000, 20000},
		dropped: []int{10000, 15000, 20000, 25000},
		teams:   []int{10, 35, 60, 110}, edits: 5,
		window: 4 * time.Second, storeWindow: 10 * time.Second, firstEntries: 3,
	}
	if short {
		s.sidecars, s.entries = []int{6, 12, 24}, []int{1, 2, 3}
		s.jobRates, s.jobTasks = []int{100, 300}, []int{5, 50}
		s.queued, s.remembered = []int{0, 5000}, []int{0, 5000}
		s.dropped = []int{9000, 12000}
		s.teams, s.edits = []int{10, 110}, 2
		s.window, s.storeWindow = 2*time.Second, 5*time.Second
	}
	return s
}

// run is the state of one run.
type run struct {
	series
	opts   Options
	sizes  sizes
	rnd    *rand.Rand
	binary string
	dir    string
	edits  int
	// processes are all that were started, to be ended on a signal.
	processes children
	// storeReads and storeWrites are the calls per second of one idle entry
	// instance.
	storeReads, storeWrites float64
}

// Run measures everything.
func Run(o Options) (*Report, error) {
	begin, version := time.Now(), commit()
	dir, err := os.MkdirTemp("", "cardamom-slopes-")
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer os.RemoveAll(dir)
	r := &run{opts: o, sizes: sizesOf(o.Short), rnd: rand.New(rand.NewPCG(o.Seed, 0)), dir: dir}
	if r.binary, err = buildDaemon(dir); err != nil {
		return nil, err
	}
	defer r.processes.endOnSignal()()
	for _, p := range []struct {
		about string
		run   func() error
	}{
		{"load, control and configuration against sidecars", r.growSidecars},
		{"control against entry instances, store calls", r.growEntries},
		{"starts", r.growStarts},
		{"control against attachments", r.growAttachments},
		{"teams", r.growTeams},
		{"memory", r.growMemory},
		{"memory of answers without bodies", r.growDropped},
	} {
		if o.Progress != nil {
			fmt.Fprintf(o.Progress, "%5.1f s  %s\n", time.Since(begin).Seconds(), p.about)
		}
		if err := p.run(); err != nil {
			return nil, errors.Annotate(err, p.about)
		}
	}
	return &Report{
		Name: "slopes", Seed: o.Seed, Short: o.Short, Commit: version, Command: command(o),
		TookS: time.Since(begin).Seconds(), Relations: r.fit(),
	}, nil
}

// with runs a measurement on a fleet of its own.
func (r *run) with(doc *resource.Document, entries, sidecars int, measure func(*fleet) error) error {
	f, err := newFleet(r, doc)
	if err != nil {
		return err
	}
	defer f.close()
	if err := f.grow(entries, sidecars); err != nil {
		return err
	}
	return measure(f)
}

func (r *run) growSidecars() error {
	return r.with(document(1, idleTeams, false), r.sizes.firstEntries, r.sizes.sidecars[0], func(f *fleet) error {
		if err := f.touch(1); err != nil {
			return err
		}
		if err := r.measureLoad(f); err != nil {
			return err
		}
		return r.measureSidecars(f)
	})
}

func (r *run) growEntries() error {
	return r.with(document(1, idleTeams, false), 1, 0, func(f *fleet) error {
		if err := r.measureEntries(f); err != nil {
			return err
		}
		rel := r.fit()
		for i := range rel {
			switch rel[i].Name {
			case storeReads.name:
				r.storeReads = rel[i].Slope
			case storeWrites.name:
				r.storeWrites = rel[i].Slope
			}
		}
		return nil
	})
}

// startEntries is the number of entry instances beside which processes start.
const startEntries = 2

// growStarts starts processes with documents of growing size, each in a fleet
// of its own, so that only the document differs.
func (r *run) growStarts() error {
	for _, teams := range r.sizes.teams {
		doc := document(1, teams, true)
		data, err := resource.Encode(doc)
		if err != nil {
			return errors.Trace(err)
		}
		err = r.with(doc, startEntries, 0, func(f *fleet) error {
			time.Sleep(settle)
			return r.measureStart(f, float64(len(data)))
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (r *run) growAttachments() error {
	return r.with(document(1, idleTeams, false), 1, r.sizes.sidecars[0], r.measureAttachments)
}

func (r *run) growTeams() error {
	return r.with(document(1, 1, false), 2, memorySidecar, r.measureTeams)
}

// smallAnswers is the smallest bound on the bodies of answers, in bytes.
const smallAnswers = 1 << 20

func (r *run) growDropped() error {
	f, err := newFleet(r, document(1, idleTeams, false))
	if err != nil {
		return err
	}
	defer f.close()
	f.answerBytes = smallAnswers
	if err := f.grow(1, memorySidecar); err != nil {
		return err
	}
	return r.measureDropped(f)
}

func (r *run) growMemory() error {
	return r.with(document(1, idleTeams, false), 1, memorySidecar, func(f *fleet) error {
		if err := f.touch(1); err != nil {
			return err
		}
		if err := r.measureMemory(f); err != nil {
			return err
		}
		return r.measureQueue(f)
	})
}

// commit names the version of the sources.
func commit() string {
	out, err := exec.Command("git", "describe", "--always", "--dirty", "--abbrev=12").Output()
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(out))
}

func command(o Options) string {
	s := fmt.Sprintf("go run ./test/experiment run slopes --seed %d", o.Seed)
	if o.Short {
		s += " --short"
	}
	return s
}

// WriteJSON writes the report with every point.
func (r *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return errors.Annotate(enc.Encode(r), "write report")
}

// WriteTable writes the fitted lines for people.
func (r *Report) WriteTable(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "slopes  seed %d  commit %s  %.0f s\n", r.Seed, r.Commit, r.TookS); err != nil {
		return errors.Trace(err)
	}
	for i := range r.Relations {
		if _, err := fmt.Fprintln(w, r.Relations[i].String()); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// Read reads a report that WriteJSON wrote.
func Read(r io.Reader) (*Report, error) {
	var rep Report
	return &rep, errors.Annotate(json.NewDecoder(r).Decode(&rep), "read report")
}
