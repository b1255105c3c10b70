package resource

import (
	"fmt"
	"maps"
	"slices"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
)

// Upper and lower bounds of the fields.
const (
	MaxNameLength     = 63
	MaxChangeIDLength = 128
	MaxCPUs           = 1024
	MaxMemoryMB       = 16 << 20
	MaxAccelerators   = 64
	MaxRunMs          = 10 * 60 * 1000
	MaxDeadlineMs     = 60 * 60 * 1000
	MinWeight         = 0.01
	MaxWeight         = 1000
	MaxRank           = 1000
	MaxConcurrency    = 1_000_000
	MaxRate           = 1_000_000
	MaxQueueTasks     = 10_000_000
	MaxReserveSlots   = 64
	MaxConditions     = 16
)

const nameSyntax = "1 to 63 characters of A-Z, a-z, 0-9, _ and -"

// ValidChangeID reports whether s is a valid change ID.
func ValidChangeID(s string) bool { return ident.ValidName(s, MaxChangeIDLength) }

// Validate checks every resource of the document and the references between
// resources. The error is a *ValidationError with all problems.
func (d *Document) Validate() error {
	var problems []Problem
	doc := checker{resource: "document", problems: &problems}
	if d.Format != DocumentFormat {
		doc.addProblem("format", d.Format, fmt.Sprint(DocumentFormat))
	}
	validateChanges(doc, d)
	validateObjects(d, TypeUrgency, d.Urgencies, &problems, validateUrgency)
	validateObjects(d, TypeKind, d.Kinds, &problems, validateKind)
	validateObjects(d, TypeTeam, d.Teams, &problems, validateTeam)
	validateObjects(d, TypeLimit, d.Limits, &problems, validateLimit)
	validateObjects(d, TypePolicy, d.Policies, &problems, validatePolicy)
	if len(problems) > 0 {
		return &ValidationError{Problems: problems}
	}
	return nil
}

func validateChanges(c checker, d *Document) {
	if len(d.Changes) > MaxChanges {
		c.addProblem("changes", len(d.Changes), fmt.Sprintf("at most %d elements", MaxChanges))
		return
	}
	last := uint64(0)
	for i, change := range d.Changes {
		field := fmt.Sprintf("changes[%d]", i)
		if !ValidChangeID(change.ID) {
			c.addProblem(field+".id", change.ID, fmt.Sprintf("1 to %d characters of A-Z, a-z, 0-9, _ and -", MaxChangeIDLength))
		}
		if change.Revision < last || change.Revision > d.Revision {
			c.addProblem(field+".revision", change.Revision, fmt.Sprintf("%d to %d", last, d.Revision))
		}
		last = change.Revision
	}
}

// validateObjects checks the resources of one type in the order of their names.
func validateObjects[S any](d *Document, t Type, objects map[string]*Object[S], problems *[]Problem, validateSpec func(checker, *Document, *S)) {
	for _, name := range slices.Sorted(maps.Keys(objects)) {
		c := checker{resource: string(t) + "/" + name, problems: problems}
		o := objects[name]
		if !ident.ValidName(name, MaxNameLength) {
			c.addProblem("metadata.name", name, nameSyntax)
		}
		if o == nil {
			c.addProblem("spec", "null", "an object")
			continue
		}
		if o.Metadata.Name != name {
			c.addProblem("metadata.name", o.Metadata.Name, fmt.Sprintf("%q, the name that it is stored under", name))
		}
		if o.Metadata.Generation < 1 {
			c.addProblem("metadata.generation", o.Metadata.Generation, "1 or more")
		}
		if o.Metadata.ResourceVersion > d.Revision {
			c.addProblem("metadata.resourceVersion", o.Metadata.ResourceVersion, fmt.Sprintf("at most the revision %d", d.Revision))
		}
		if len(o.Conditions) > MaxConditions {
			c.addProblem("conditions", len(o.Conditions), fmt.Sprintf("at most %d elements", MaxConditions))
		}
		validateSpec(c, d, &o.Spec)
	}
}

func validateKind(c checker, d *Document, s *KindSpec) {
	if !ident.ValidName(s.Service, MaxNameLength) {
		c.addProblem("spec.service", s.Service, nameSyntax)
	}
	if d.Urgencies[s.Urgency] == nil {
		c.addProblem("spec.urgency", s.Urgency, "the name of an existing urgency")
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
	c.optionalInt64(field+".concurrency", a.Concurrency, 0, MaxConcurrency)
	c.optionalInt64(field+".rate", a.Rate, 0, MaxRate)
	c.optionalInt64(field+".queue", a.Queue, 0, MaxQueueTasks)
}

func validateUrgency(c checker, _ *Document, s *UrgencySpec) {
	c.floatRange("spec.weight", s.Weight, MinWeight, MaxWeight)
	c.intRange("spec.rank", int64(s.Rank), 0, MaxRank)
}

func validateLimit(c checker, d *Document, s *LimitSpec) {
	if d.Kinds[s.Kind] == nil {
		c.addProblem("spec.kind", s.Kind, "the name of an existing kind")
	}
	if s.Team != "" && d.Teams[s.Team] == nil {
		c.addProblem("spec.team", s.Team, "empty or the name of an existing team")
	}
	if s.Amounts == (Amounts{}) {
		c.addProblem("spec.amounts", "empty", "at least one of concurrency, rate and queue")
	}
	validateAmounts(c, "spec.amounts", s.Amounts)
}

func validatePolicy(c checker, _ *Document, s *PolicySpec) {
	c.optionalInt("spec.reserveSlots", s.ReserveSlots, 0, MaxReserveSlots)
	c.optionalInt("spec.retryPercent", s.RetryPercent, 0, 100)
	c.optionalInt("spec.ejectPercent", s.EjectPercent, 0, 100)
	c.optionalInt64("spec.queueTasks", s.QueueTasks, 1, MaxQueueTasks)
}
