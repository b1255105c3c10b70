package revision

import "github.com/cardamomturn/cardamomturn/internal/resource"

func noAmounts[S any](_, _ *S) []Lowered { return nil }

// loweredAmounts compares amounts. Removing a limit is a raise; a limit where
// there was none is a decrease.
func loweredAmounts(path string, old, now resource.Amounts) []Lowered {
	var all []Lowered
	all = appendLowered(all, path+".concurrency", old.Concurrency, now.Concurrency)
	all = appendLowered(all, path+".rate", old.Rate, now.Rate)
	return appendLowered(all, path+".queue", old.Queue, now.Queue)
}

func appendLowered(all []Lowered, field string, old, now *int64) []Lowered {
	if now == nil || old != nil && *now >= *old {
		return all
	}
	return append(all, Lowered{Field: field, Old: old, New: now})
}

// loweredTeam treats a deletion as a decrease to zero, because the team's work
// is refused from then on. Without that, deleting a team and adding it again
// with a smaller quota would lower the quota unnoticed. A new team has no
// earlier amounts.
func loweredTeam(old, now *resource.TeamSpec) []Lowered {
	switch {
	case old == nil:
		return nil
	case now == nil:
		zero := int64(0)
		return []Lowered{{Field: "spec.quota.concurrency", Old: old.Quota.Concurrency, New: &zero}}
	}
	return loweredAmounts("spec.quota", old.Quota, now.Quota)
}

// loweredLimit treats a limit that moves to another kind or team as the removal
// of one limit and the addition of another.
func loweredLimit(old, now *resource.LimitSpec) []Lowered {
	if now == nil {
		return nil
	}
	var before resource.Amounts
	if old != nil && old.Kind == now.Kind && old.Team == now.Team {
		before = old.Amounts
	}
	return loweredAmounts("spec.amounts", before, now.Amounts)
}

// loweredPolicy counts a change between a set and an unset queueTasks as a
// decrease, because the default that applies when it is unset may be lower or
// higher.
func loweredPolicy(old, now *resource.PolicySpec) []Lowered {
	var before, after *int64
	if old != nil {
		before = old.QueueTasks
	}
	if now != nil {
		after = now.QueueTasks
	}
	if before == nil && after == nil || before != nil && after != nil && *after >= *before {
		return nil
	}
	return []Lowered{{Field: "spec.queueTasks", Old: before, New: after}}
}
