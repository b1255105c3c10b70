package occupancy

import "sort"

// runQueue holds the queued runs in the order in which they start: by rank, then by
// order of submission.
type runQueue struct{ runs []*run }

// startsBefore reports whether a starts before b.
func startsBefore(a, b *run) bool {
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	return a.sequence < b.sequence
}

// Len returns the number of queued runs.
func (q *runQueue) Len() int { return len(q.runs) }

func (q *runQueue) head() *run { return q.runs[0] }

func (q *runQueue) push(r *run) {
	i := sort.Search(len(q.runs), func(i int) bool { return startsBefore(r, q.runs[i]) })
	q.runs = append(q.runs, nil)
	copy(q.runs[i+1:], q.runs[i:])
	q.runs[i] = r
}

func (q *runQueue) remove(r *run) {
	for i, other := range q.runs {
		if other == r {
			q.runs = append(q.runs[:i], q.runs[i+1:]...)
			return
		}
	}
}

func sortByArrival(runs []*run) {
	sort.Slice(runs, func(i, j int) bool { return runs[i].sequence < runs[j].sequence })
}
