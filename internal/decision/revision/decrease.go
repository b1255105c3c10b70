package revision

import "github.com/cardamomturn/cardamomturn/internal/resource"

func noDecreases[S any](_, _ *S) []Decrease { return nil }

// amountDecreases returns the amounts that are lower in updated than in old. A
// removed amount is no decrease, and an amount where there was none is a
// decrease.
func amountDecreases(path string, old, updated resource.Amounts) []Decrease {
	var all []Decrease
	all = appendDecrease(all, path+".concurrency", old.Concurrency, updated.Concurrency)
	all = appendDecrease(all, path+".rate", old.Rate, updated.Rate)
	return appendDecrease(all, path+".queue", old.Queue, updated.Queue)
}

func appendDecrease(all []Decrease, field string, old, updated *int64) []Decrease {
	if updated == nil || old != nil && *updated >= *old {
		return all
	}
	return append(all, Decrease{Field: field, Old: old, New: updated})
}

// teamDecreases treats the deletion of a team as a decrease to zero, because
// the team's work is refused afterwards. Without that, deleting a team and
// adding it again with a smaller quota would lower the quota unnoticed. A new
// team has no earlier amounts, so its quota is no decrease.
func teamDecreases(old, updated *resource.TeamSpec) []Decrease {
	switch {
	case old == nil:
		return nil
	case updated == nil:
		zero := int64(0)
		return []Decrease{{Field: "spec.quota.concurrency", Old: old.Quota.Concurrency, New: &zero}}
	}
	return amountDecreases("spec.quota", old.Quota, updated.Quota)
}

// limitDecreases treats a limit whose kind or team changes as the removal of
// one limit and the addition of another.
func limitDecreases(old, updated *resource.LimitSpec) []Decrease {
	if updated == nil {
		return nil
	}
	var before resource.Amounts
	if old != nil && old.Kind == updated.Kind && old.Team == updated.Team {
		before = old.Amounts
	}
	return amountDecreases("spec.amounts", before, updated.Amounts)
}

// policyDecreases treats a change between a set and an unset queueTasks as a
// decrease, because the default for an unset value may be lower or higher.
func policyDecreases(old, updated *resource.PolicySpec) []Decrease {
	var before, after *int64
	if old != nil {
		before = old.QueueTasks
	}
	if updated != nil {
		after = updated.QueueTasks
	}
	if before == nil && after == nil || before != nil && after != nil && *after >= *before {
		return nil
	}
	return []Decrease{{Field: "spec.queueTasks", Old: before, New: after}}
}
