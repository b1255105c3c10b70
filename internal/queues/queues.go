// Package queues holds the configuration of the queues for jobs whose tasks run
// under leases: how a request selects a queue, and which workers run the tasks.
// A configuration is replaced as a whole, and never by an older one.
package queues

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Queue is the configuration of one queue.
type Queue struct {
	Name string
	// Host and PathPrefix select the queue: a request belongs to it if it has this
	// host and its path begins with PathPrefix.
	Host, PathPrefix string
	// Service names the workers that run the queue's tasks.
	Service string
	// Rank is the rank of the tasks; tasks of rank zero come first.
	Rank int
	// MaxFailedRuns is the number of failed runs after which a task has failed.
	MaxFailedRuns int
	// Objective and ObjectiveFactor define the response time objective of a job:
	// ObjectiveFactor, at least 1, times the estimated run time of the longest chain
	// of dependent steps, plus Objective.
	Objective       time.Duration
	ObjectiveFactor float64
	// Timeout is the longest time to the answer of a request that sets no such time
	// itself. If it is zero, the caller API's default applies.
	Timeout time.Duration
	// ExternalPlacement is true if an external service decides which workers may
	// run a step.
	ExternalPlacement bool
}

// Limits are the limits of request sizes and connection times.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int
	HeaderTimeout, IdleTimeout   time.Duration
}

// Config is one version of the configuration.
type Config struct {
	// Version increases with each accepted configuration.
	Version uint64
	Queues  []Queue
	Limits  Limits
	// Unreadable holds an error for each queue that can't be decoded and is not among Queues.
	Unreadable []error
	// Encoded is the encoded form, which is sent to other entry instances.
	Encoded []byte
}

// Table looks up the queue of a request. It is immutable.
type Table struct {
	// Config is the configuration with the queues that are in force.
	Config *Config
	// Since is when the version came into force, for logs.
	Since time.Time
	// Rejected holds an error for each queue that is left out.
	Rejected []error
	byHost   map[string][]*Queue // in lower case; the longest prefix first
}

// MaxObjective bounds the objective of a queue, and MaxObjectiveFactor its factor. Larger values
// mean the same in practice; sums and products with run times don't overflow up to here.
const (
	MaxObjective       = 365 * 24 * time.Hour
	MaxObjectiveFactor = 1e9
)

// Clean returns the queue with large values reduced to the bounds. Errors, for a queue that can't
// be used, satisfy errors.IsNotValid.
func (q Queue) Clean() (Queue, error) {
	if q.Host == "" || q.PathPrefix == "" || q.Service == "" {
		return q, errors.NotValidf("queue %q without host, prefix or service", q.Name)
	}
	if q.Rank < 0 || q.MaxFailedRuns < 0 || q.Objective < 0 || q.Timeout < 0 || !(q.ObjectiveFactor >= 0) {
		return q, errors.NotValidf("queue %q with rank %d, %d failed runs, objective %v + %v times the estimate, timeout %v", q.Name, q.Rank, q.MaxFailedRuns, q.Objective, q.ObjectiveFactor, q.Timeout)
	}
	q.Objective = min(q.Objective, MaxObjective)
	q.ObjectiveFactor = min(q.ObjectiveFactor, MaxObjectiveFactor)
	return q, nil
}

// NewTable builds the table of a configuration. A queue that can't be used is left out, so that it
// does not keep the others from coming into force; Rejected names it. Errors satisfy
// errors.IsNotValid: the configuration has no queue that can be used, but others.
func NewTable(c *Config, since time.Time) (*Table, error) {
	inForce := *c
	inForce.Queues = nil
	t := &Table{Config: &inForce, Since: since, byHost: map[string][]*Queue{}, Rejected: slices.Clone(c.Unreadable)}
	for _, listed := range c.Queues {
		q, err := listed.Clean()
		if err != nil {
			t.Rejected = append(t.Rejected, err)
			continue
		}
		inForce.Queues = append(inForce.Queues, q)
	}
	if len(inForce.Queues) == 0 && len(t.Rejected) > 0 {
		return nil, errors.NewNotValid(t.Rejected[0], "no queue of the configuration can be used")
	}
	for i := range inForce.Queues {
		q := &inForce.Queues[i]
		host := strings.ToLower(q.Host)
		t.byHost[host] = append(t.byHost[host], q)
	}
	for _, list := range t.byHost {
		sort.SliceStable(list, func(a, b int) bool { return len(list[a].PathPrefix) > len(list[b].PathPrefix) })
	}
	return t, nil
}

// Find returns the queue of the host with the longest prefix of the path, and the
// part of the path after this prefix. It returns nil if no queue matches.
func (t *Table) Find(host, path string) (*Queue, string) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, q := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, q.PathPrefix) {
			return q, path[len(q.PathPrefix):]
		}
	}
	return nil, ""
}
