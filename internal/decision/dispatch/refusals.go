package dispatch

import (
	"github.com/bits-and-blooms/bloom/v3"
	"github.com/cespare/xxhash/v2"

	"github.com/cardamomturn/cardamomturn/internal/jobapi"
)

const (
	// maxReasons is the number of refused IDs of a window whose reasons are remembered.
	maxReasons = 1 << 14
	// overflowBits and overflowHashes are the size of the filter for further ones: 1 MiB, in which
	// one of 20,000 other IDs is taken for a refused one beside 180,000, and one of 50 beside a
	// million.
	overflowBits   = 8 << 20
	overflowHashes = 4
)

// refusals remembers the refused IDs of a window in bounded memory. The IDs themselves are not
// stored, because an overload can cause millions of refusals. If a new ID is taken for a refused one,
// the new job is refused too; its answer is still true, because the job does not run.
type refusals struct {
	reasons  map[uint64]jobapi.Reason
	overflow *bloom.BloomFilter
}

func (r *refusals) add(id string, reason jobapi.Reason) {
	if len(r.reasons) < maxReasons {
		if r.reasons == nil {
			r.reasons = map[uint64]jobapi.Reason{}
		}
		r.reasons[xxhash.Sum64String(id)] = reason
		return
	}
	if r.overflow == nil {
		r.overflow = bloom.New(overflowBits, overflowHashes)
	}
	r.overflow.AddString(id)
}

// reason returns the reason for which an ID was refused. Beyond maxReasons it is that of an
// overload, which is what causes so many.
func (r *refusals) reason(id string) (jobapi.Reason, bool) {
	if reason, ok := r.reasons[xxhash.Sum64String(id)]; ok {
		return reason, true
	}
	if r.overflow != nil && r.overflow.TestString(id) {
		return jobapi.ReasonQueueFull, true
	}
	return "", false
}
