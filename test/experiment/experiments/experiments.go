// Package experiments holds the experiments on a cluster, most of them in a file of
// their own.
package experiments

import (
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/test/experiment/cluster"
	"github.com/cardamomturn/cardamomturn/test/experiment/load"
	"github.com/cardamomturn/cardamomturn/test/experiment/report"
)

// Settings are the settings of one run.
type Settings struct {
	Seed uint64
	// Duration is the duration of the load; zero selects that of the experiment.
	Duration time.Duration
	// Short divides the duration of the experiment by shortFactor and marks the
	// report as short. If Duration is set, Short only marks the report.
	Short bool
	// Settle is the time from the end of the load until open jobs are canceled;
	// zero selects settleTime.
	Settle time.Duration
	// Faults are the names of the faults that churn injects; empty selects all.
	Faults     []string
	NewCluster cluster.Factory
}

const shortFactor = 4

// Experiment is an experiment on a cluster.
type Experiment struct {
	Description string
	Duration    time.Duration
	run         func(*run) error
}

var experiments = map[string]Experiment{
	"steady":       {"response times against the ideal at 70% of the slots", 20 * time.Second, steady},
	"flood-low":    {"overload by the least urgent work, Torno Andino", 15 * time.Second, floodLow},
	"flood-high":   {"overload by the most urgent work, Torno Andino", 15 * time.Second, floodHigh},
	"refund-flood": {"overload by refund checks, Safari", 15 * time.Second, refundFlood},
	"waste":        {"wasted messages per started task", 12 * time.Second, waste},
	"churn":        {"faults and drains of processes, a rack and a zone", 110 * time.Second, churn},
	"store-outage": {"the store slow, losing answers and down", 30 * time.Second, storeOutage},
	"config":       {"2,400 racing edits and restarts", 20 * time.Second, config},
	"bad-workers":  {"a worker that fails every task and a straggler", 15 * time.Second, badWorkers},
	"limits":       {"limits with a demand of three times the limit", 15 * time.Second, limits},
	"overhead":     {"latency added to a direct call", 10 * time.Second, overhead},
}

// Names returns the names of the experiments, sorted.
func Names() []string { return slices.Sorted(maps.Keys(experiments)) }

// Get returns an experiment, or an error that satisfies errors.IsNotFound.
func Get(name string) (Experiment, error) {
	e, ok := experiments[name]
	if !ok {
		return e, errors.NotFoundf("experiment %q", name)
	}
	return e, nil
}

// run is the state of one run of an experiment.
type run struct {
	Settings
	name  string
	rep   *report.Report
	trace []load.TraceLine
}

// Run runs an experiment and returns its report and the trace of its last phase.
func Run(name string, s Settings) (*report.Report, []load.TraceLine, error) {
	e, err := Get(name)
	if err != nil {
		return nil, nil, err
	}
	if s.Duration <= 0 {
		s.Duration = e.Duration
		if s.Short {
			s.Duration /= shortFactor
		}
	}
	if s.Settle <= 0 {
		s.Settle = settleTime
	}
	r := &run{Settings: s, name: name, rep: report.New(name, s.Seed)}
	r.rep.Short = s.Short
	r.rep.Sizes["durationS"] = s.Duration.Seconds()
	if err := e.run(r); err != nil {
		return nil, nil, errors.Annotatef(err, "experiment %s", name)
	}
	return r.rep, r.trace, nil
}
