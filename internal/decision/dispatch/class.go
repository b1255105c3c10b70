package dispatch

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/estimate"
	"github.com/cardamomturn/cardamomturn/internal/decision/fair"
	"github.com/cardamomturn/cardamomturn/internal/decision/health"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// policyName is the name of the policy that the Machine reads.
const policyName = "default"

// class holds the state of the tasks of one kind for one team.
type class struct {
	key         wire.Class
	queue       *fair.Class[*task]
	pool        *pool
	runTime     *estimate.Kind
	retryBudget health.RetryBudget
	// spec is the last known spec of the kind.
	spec      resource.KindSpec
	limitZero bool
	counters  counters
}

// counters holds the totals of a class.
type counters struct {
	starts    int64
	completed int64
	failed    int64
	refused   map[jobapi.Reason]int64
}

func (c *counters) addRefusal(reason jobapi.Reason) {
	if c.refused == nil {
		c.refused = map[jobapi.Reason]int64{}
	}
	c.refused[reason]++
}

// class returns the class of a team and kind. It returns nil if there is no such
// class yet and the team or the kind is not configured.
func (m *Machine) class(key wire.Class) *class {
	if c := m.classes[key]; c != nil {
		return c
	}
	if m.doc == nil || m.doc.Kinds[key.Kind] == nil || m.doc.Teams[key.Team] == nil {
		return nil
	}
	p := m.pool(m.doc.Kinds[key.Kind].Spec.Service)
	c := &class{key: key, pool: p, queue: p.queue.Class(key), runTime: m.estimates.Kind(key.Kind)}
	m.classes[key] = c
	m.allClasses = append(m.allClasses, c)
	m.configure(c)
	return c
}

// configure applies the document to a class. It returns false and changes
// nothing if the document lacks the team or the kind.
func (m *Machine) configure(c *class) bool {
	kind, team := m.doc.Kinds[c.key.Kind], m.doc.Teams[c.key.Team]
	if kind == nil || team == nil {
		return false
	}
	c.spec = kind.Spec
	c.runTime.SetDeclared(time.Duration(kind.Spec.RunMs) * time.Millisecond)
	c.limitZero = m.limitZero(c.key)
	c.retryBudget.Percent = health.DefaultRetryPercent
	maxWaiting := m.cfg.QueueTasks
	if p := m.policy(); p != nil {
		if p.RetryPercent != nil {
			c.retryBudget.Percent = *p.RetryPercent
		}
		if p.QueueTasks != nil {
			maxWaiting = *p.QueueTasks
		}
	}
	weight, rank := 1.0, 0
	if u := m.doc.Urgencies[kind.Spec.Urgency]; u != nil {
		weight, rank = u.Spec.Weight, u.Spec.Rank
	}
	if team.Spec.Weight > 0 {
		weight *= team.Spec.Weight
	}
	c.pool.queue.Configure(c.queue, weight, rank, maxWaiting)
	return true
}

func (m *Machine) policy() *resource.PolicySpec {
	if p := m.doc.Policies[policyName]; p != nil {
		return &p.Spec
	}
	return nil
}

func (m *Machine) ejectPercent() int {
	if m.doc != nil {
		if p := m.policy(); p != nil && p.EjectPercent != nil {
			return *p.EjectPercent
		}
	}
	return health.DefaultEjectPercent
}

// limitZero reports whether a limit or quota admits no task of the class.
func (m *Machine) limitZero(key wire.Class) bool {
	if admitsNothing(m.doc.Teams[key.Team].Spec.Quota) {
		return true
	}
	for _, l := range m.doc.Limits {
		s := &l.Spec
		if s.Kind == key.Kind && (s.Team == "" || s.Team == key.Team) && admitsNothing(s.Amounts) {
			return true
		}
	}
	return false
}

func admitsNothing(a resource.Amounts) bool {
	zero := func(p *int64) bool { return p != nil && *p == 0 }
	return zero(a.Concurrency) || zero(a.Rate) || zero(a.Queue)
}

// timeToDeadline returns the time from submission to deadline of a request that
// asks for requestMs milliseconds: the requested time, but at most the deadline
// of the kind, which also applies if the request names none.
func (c *class) timeToDeadline(requestMs int64) time.Duration {
	kindLimit := time.Duration(c.spec.DeadlineMs) * time.Millisecond
	if kindLimit <= 0 {
		kindLimit = DefaultDeadline
	}
	requested := time.Duration(requestMs) * time.Millisecond
	if requested <= 0 {
		return kindLimit
	}
	return min(requested, kindLimit)
}
