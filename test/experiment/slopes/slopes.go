// Package slopes is the experiment "slopes". It measures the use of processor time,
// memory, messages and store calls in fleets of real processes of several sizes, and
// fits a line to each measured quantity.
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

// Description describes the experiment, and ApproximateDuration is about how long a
// run takes.
const (
	Description         = "growth with the size of a fleet of real processes"
	ApproximateDuration = 4 * time.Minute
)

// Options are the settings of one run.
type Options struct {
	Seed uint64
	// Short selects fewer and smaller sizes and shorter measurements; the figures
	// are then trial values.
	Short bool
	// Progress receives a line before each measurement; it may be nil.
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
	fixedJobRate       float64
	queued, remembered []int
	// withoutBodies are numbers of remembered submissions whose answer bodies exceed
	// minAnswerBytes in total, so that the entry instance drops the oldest bodies.
	withoutBodies       []int
	teams               []int
	edits               int
	window, storeWindow time.Duration
	// baseEntries is the fixed number of entry instances while the number of
	// sidecars varies.
	baseEntries int
}

func sizesOf(short bool) sizes {
	s := sizes{
		sidecars: []int{10, 20, 40, 80, 120}, entries: []int{1, 2, 3, 4, 6},
		jobRates: []int{100, 200, 400, 800}, jobTasks: []int{10, 50, 100, 200}, fixedJobRate: 30,
		queued: []int{0, 5000, 10000, 20000}, remembered: []int{0, 5000, 10000, 20000},
		withoutBodies: []int{10000, 15000, 20000, 25000},
		teams:         []int{10, 35, 60, 110}, edits: 5,
		window: 4 * time.Second, storeWindow: 10 * time.Second, baseEntries: 3,
	}
	if short {
		s.sidecars, s.entries = []int{6, 12, 24}, []int{1, 2, 3}
		s.jobRates, s.jobTasks = []int{100, 300}, []int{5, 50}
		s.queued, s.remembered = []int{0, 5000}, []int{0, 5000}
		s.withoutBodies = []int{9000, 12000}
		s.teams, s.edits = []int{10, 110}, 2
		s.window, s.storeWindow = 2*time.Second, 5*time.Second
	}
	return s
}

// experiment is the state of one run.
type experiment struct {
	series
	opts   Options
	sizes  sizes
	rnd    *rand.Rand
	binary string
	dir    string
	edits  int
	// processes are all started processes, which a signal kills.
	processes childProcesses
	// idleStoreReads and idleStoreWrites are the calls to the store per second of
	// one idle entry instance.
	idleStoreReads, idleStoreWrites float64
}

// Run measures all relations.
func Run(o Options) (*Report, error) {
	begin, version := time.Now(), commit()
	dir, err := os.MkdirTemp("", "cardamom-slopes-")
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer os.RemoveAll(dir)
	exp := &experiment{opts: o, sizes: sizesOf(o.Short), rnd: rand.New(rand.NewPCG(o.Seed, 0)), dir: dir}
	if exp.binary, err = buildDaemon(dir); err != nil {
		return nil, err
	}
	defer exp.processes.killOnSignal()()
	for _, p := range []struct {
		description string
		run         func() error
	}{
		{"load, control and configuration against sidecars", exp.varySidecars},
		{"control against entry instances, store calls", exp.varyEntries},
		{"process starts against document size", exp.varyDocument},
		{"control against attachments", exp.varyAttachments},
		{"teams", exp.varyTeams},
		{"memory", exp.varyMemory},
		{"memory of answers without bodies", exp.varyWithoutBodies},
	} {
		if o.Progress != nil {
			fmt.Fprintf(o.Progress, "%5.1f s  %s\n", time.Since(begin).Seconds(), p.description)
		}
		if err := p.run(); err != nil {
			return nil, errors.Annotate(err, p.description)
		}
	}
	return &Report{
		Name: "slopes", Seed: o.Seed, Short: o.Short, Commit: version, Command: command(o),
		TookS: time.Since(begin).Seconds(), Relations: exp.fit(),
	}, nil
}

// withFleet starts a separate fleet, runs a measurement on it and closes it.
func (exp *experiment) withFleet(doc *resource.Document, entries, sidecars int, measure func(*fleet) error) error {
	f, err := newFleet(exp, doc)
	if err != nil {
		return err
	}
	defer f.close()
	if err := f.growTo(entries, sidecars); err != nil {
		return err
	}
	return measure(f)
}

func (exp *experiment) varySidecars() error {
	return exp.withFleet(document(1, defaultTeams, false), exp.sizes.baseEntries, exp.sizes.sidecars[0], func(f *fleet) error {
		if err := f.runJobOfEachTeam(1); err != nil {
			return err
		}
		if err := exp.measureLoad(f); err != nil {
			return err
		}
		return exp.measureSidecars(f)
	})
}

func (exp *experiment) varyEntries() error {
	return exp.withFleet(document(1, defaultTeams, false), 1, 0, func(f *fleet) error {
		if err := exp.measureEntries(f); err != nil {
			return err
		}
		rel := exp.fit()
		for i := range rel {
			switch rel[i].Name {
			case storeReadsByEntries.name:
				exp.idleStoreReads = rel[i].Slope
			case storeWritesByEntries.name:
				exp.idleStoreWrites = rel[i].Slope
			}
		}
		return nil
	})
}

// startFleetEntries is the number of entry instances that run when measureStart
// starts another entry instance and a sidecar.
const startFleetEntries = 2

// varyDocument measures the start of processes with documents of increasing size.
// Each measurement uses a separate fleet, so that only the document differs.
func (exp *experiment) varyDocument() error {
	for _, teams := range exp.sizes.teams {
		doc := document(1, teams, true)
		data, err := resource.Encode(doc)
		if err != nil {
			return errors.Trace(err)
		}
		err = exp.withFleet(doc, startFleetEntries, 0, func(f *fleet) error {
			time.Sleep(settleTime)
			return exp.measureStart(f, float64(len(data)))
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (exp *experiment) varyAttachments() error {
	return exp.withFleet(document(1, defaultTeams, false), 1, exp.sizes.sidecars[0], exp.measureAttachments)
}

func (exp *experiment) varyTeams() error {
	return exp.withFleet(document(1, 1, false), 2, memorySidecars, exp.measureTeams)
}

// minAnswerBytes is the smallest valid bound on the bodies of answers.
const minAnswerBytes = 1 << 20

func (exp *experiment) varyWithoutBodies() error {
	f, err := newFleet(exp, document(1, defaultTeams, false))
	if err != nil {
		return err
	}
	defer f.close()
	f.answerBytes = minAnswerBytes
	if err := f.growTo(1, memorySidecars); err != nil {
		return err
	}
	return exp.measureWithoutBodies(f)
}

func (exp *experiment) varyMemory() error {
	return exp.withFleet(document(1, defaultTeams, false), 1, memorySidecars, func(f *fleet) error {
		if err := f.runJobOfEachTeam(1); err != nil {
			return err
		}
		if err := exp.measureMemory(f); err != nil {
			return err
		}
		return exp.measureQueue(f)
	})
}

// commit returns the version of the working directory according to git describe.
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

// WriteJSON writes the report, all points included, as one JSON object.
func (r *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return errors.Annotate(enc.Encode(r), "write report")
}

// WriteTable writes the fitted lines as text, one relation per line.
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
