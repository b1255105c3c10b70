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

// defaultPolicy is the name of the policy in use.
const defaultPolicy = "default"

// class is the work of one kind for one team.
type class struct {
	key    wire.Class
	queue  *fair.Class[*task]
	pool   *pool
	run    *estimate.Kind
	budget health.RetryBudget
	// kind is the last known spec.
	kind      resource.KindSpec
	limitZero bool
	count     counters
}

// counters are the totals of a class.
type counters struct {
	starts    int64
	completed int64
	failed    int64
	refused   map[jobapi.Reason]int64
}

func (c *counters) refuse(reason jobapi.Reason) {
	if c.refused == nil {
		c.refused = map[jobapi.Reason]int64{}
	}
	c.refused[reason]++
}

// class returns the class of a configured team and kind, else nil.
func (m *Machine) class(key wire.Class) *class {
	if c := m.classes[key]; c != nil {
		return c
	}
	if m.doc == nil || m.doc.Kinds[key.Kind] == nil || m.doc.Teams[key.Team] == nil {
		return nil
	}
	p := m.pool(m.doc.Kinds[key.Kind].Spec.Service)
	c := &class{key: key, pool: p, queue: p.queue.Class(key), run: m.estimates.Kind(key.Kind)}
	m.classes[key] = c
	m.stats = append(m.stats, c)
	m.configure(c)
	return c
}

// configure applies the document to a class; it reports false if the team or
// the kind is not in it.
func (m *Machine) configure(c *class) bool {
	kind, team := m.doc.Kinds[c.key.Kind], m.doc.Teams[c.key.Team]
	if kind == nil || team == nil {
		return false
	}
	c.kind = kind.Spec
	c.run.SetDeclared(time.Duration(kind.Spec.RunMs) * time.Millisecond)
	c.limitZero = m.limitZero(c.key)
	c.budget.Percent = health.DefaultRetryPercent
	bound := m.cfg.QueueTasks
	if p := m.policy(); p != nil {
		if p.RetryPercent != nil {
			c.budget.Percent = *p.RetryPercent
		}
		if p.QueueTasks != nil {
			bound = *p.QueueTasks
		}
	}
	weight, rank := 1.0, 0
	if u := m.doc.Urgencies[kind.Spec.Urgency]; u != nil {
		weight, rank = u.Spec.Weight, u.Spec.Rank
	}
	if team.Spec.Weight > 0 {
		weight *= team.Spec.Weight
	}
	c.pool.queue.Configure(c.queue, weight, rank, bound)
	return true
}

func (m *Machine) policy() *resource.PolicySpec {
	if p := m.doc.Policies[defaultPolicy]; p != nil {
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

// limitZero reports whether a limit or quota admits nothing of the class.
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

// deadline returns the time to the answer of a request: its own, at most that
// of the kind.
func (c *class) deadline(requestMs int64) time.Duration {
	limit := time.Duration(c.kind.DeadlineMs) * time.Millisecond
	if limit <= 0 {
		limit = DefaultDeadline
	}
	own := time.Duration(requestMs) * time.Millisecond
	if own <= 0 {
		return limit
	}
	return min(own, limit)
}
