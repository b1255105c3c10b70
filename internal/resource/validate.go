package resource

import (
	"fmt"
	"maps"
	"slices"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
)

// Bounds of the fields.
const (
	MaxName         = 63
	MaxChangeID     = 128
	MaxCPUs         = 1024
	MaxMemoryMB     = 16 << 20
	MaxAccelerators = 64
	MaxRunMs        = 10 * 60 * 1000
	MaxDeadlineMs   = 60 * 60 * 1000
	MinWeight       = 0.01
	MaxWeight       = 1000
	MaxRank         = 1000
	MaxConcurrency  = 1_000_000
	MaxRate         = 1_000_000
	MaxQueue        = 10_000_000
	MaxReserve      = 64
	MaxConditions   = 16
)

const nameRule = "1 to 63 characters of A-Z, a-z, 0-9, _ and -"

// ValidChangeID reports whether s can name a change.
func ValidChangeID(s string) bool { return ident.ValidName(s, MaxChangeID) }

// Validate checks every resource and reference of the document. The error is
// an *Invalid with all problems.
func (d *Document) Validate() error {
	var problems []Problem
	doc := checker{resource: "document", problems: &problems}
	if d.Format != Format {
		doc.add("format", d.Format, fmt.Sprint(Format))
	}
	validateChanges(doc, d)
	validateAll(d, TypeUrgency, d.Urgencies, &problems, validateUrgency)
	validateAll(d, TypeKind, d.Kinds, &problems, validateKind)
	validateAll(d, TypeTeam, d.Teams, &problems, validateTeam)
	validateAll(d, TypeLimit, d.Limits, &problems, validateLimit)
	validateAll(d, TypePolicy, d.Policies, &problems, validatePolicy)
	if len(problems) > 0 {
		return &Invalid{Problems: problems}
	}
	return nil
}

func validateChanges(c checker, d *Document) {
	if len(d.Changes) > MaxChanges {
		c.add("changes", len(d.Changes), fmt.Sprintf("at most %d elements", MaxChanges))
		return
	}
	last := uint64(0)
	for i, change := range d.Changes {
		field := fmt.Sprintf("changes[%d]", i)
		if !ValidChangeID(change.ID) {
			c.add(field+".id", change.ID, fmt.Sprintf("1 to %d characters of A-Z, a-z, 0-9, _ and -", MaxChangeID))
		}
		if change.Revision < last || change.Revision > d.Revision {
			c.add(field+".revision", change.Revision, fmt.Sprintf("%d to %d", last, d.Revision))
		}
		last = change.Revision
	}
}

// validateAll checks the resources of one type in the order of their names.
func validateAll[S any](d *Document, t Type, all map[string]*Object[S], problems *[]Problem, spec func(checker, *Document, *S)) {
	for _, name := range slices.Sorted(maps.Keys(all)) {
		c := checker{resource: string(t) + "/" + name, problems: problems}
		o := all[name]
		if !ident.ValidName(name, MaxName) {
			c.add("metadata.name", name, nameRule)
		}
		if o == nil {
			c.add("spec", "null", "an object")
			continue
		}
		if o.Metadata.Name != name {
			c.add("metadata.name", o.Metadata.Name, fmt.Sprintf("%q, the name that it is stored under", name))
		}
		if o.Metadata.Generation < 1 {
			c.add("metadata.generation", o.Metadata.Generation, "1 or more")
		}
		if o.Metadata.ResourceVersion > d.Revision {
			c.add("metadata.resourceVersion", o.Metadata.ResourceVersion, fmt.Sprintf("at most the revision %d", d.Revision))
		}
		if len(o.Conditions) > MaxConditions {
			c.add("conditions", len(o.Conditions), fmt.Sprintf("at most %d elements", MaxConditions))
		}
		spec(c, d, &o.Spec)
	}
}

func validateKind(c checker, d *Document, s *KindSpec) {
	if !ident.ValidName(s.Service, MaxName) {
		c.add("spec.service", s.Service, nameRule)
	}
	if d.Urgencies[s.Urgency] == nil {
		c.add("spec.urgency", s.Urgency, "the name of an existing urgency")
	}
	c.floatRange("spec.size.cpus", s.Size.CPUs, 0, MaxCPUs)
	c.intRange("spec.size.memoryMB", s.Size.MemoryMB, 0, MaxMemoryMB)
	c.intRange("spec.size.accelerators", int64(s.Size.Accelerators), 0, MaxAccelerators)
	c.intRange("spec.runMs", s.RunMs, 1, MaxRunMs)
	c.intRange("spec.deadlineMs", s.DeadlineMs, max(1, s.RunMs), MaxDeadlineMs)
}

func validateTeam(c checker, _ *Document, s *TeamSpec) {
	if s.Weight != 0 {
		c.floatRange("spec.weight", s.Weight, MinWeight, MaxWeight)
	}
	validateAmounts(c, "spec.quota", s.Quota)
}

func validateAmounts(c checker, field string, a Amounts) {
	c.optional(field+".concurrency", a.Concurrency, 0, MaxConcurrency)
	c.optional(field+".rate", a.Rate, 0, MaxRate)
	c.optional(field+".queue", a.Queue, 0, MaxQueue)
}

func validateUrgency(c checker, _ *Document, s *UrgencySpec) {
	c.floatRange("spec.weight", s.Weight, MinWeight, MaxWeight)
	c.intRange("spec.rank", int64(s.Rank), 0, MaxRank)
}

func validateLimit(c checker, d *Document, s *LimitSpec) {
	if d.Kinds[s.Kind] == nil {
		c.add("spec.kind", s.Kind, "the name of an existing kind")
	}
	if s.Team != "" && d.Teams[s.Team] == nil {
		c.add("spec.team", s.Team, "empty or the name of an existing team")
	}
	if s.Amounts == (Amounts{}) {
		c.add("spec.amounts", "empty", "at least one of concurrency, rate and queue")
	}
	validateAmounts(c, "spec.amounts", s.Amounts)
}

func validatePolicy(c checker, _ *Document, s *PolicySpec) {
	c.optionalInt("spec.reserveSlots", s.ReserveSlots, 0, MaxReserve)
	c.optionalInt("spec.retryPercent", s.RetryPercent, 0, 100)
	c.optionalInt("spec.ejectPercent", s.EjectPercent, 0, 100)
	c.optional("spec.queueTasks", s.QueueTasks, 1, MaxQueue)
}
