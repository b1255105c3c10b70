package wire

import (
	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
)

// CancelRequest tells an entry instance of jobs that their callers have canceled at another one.
type CancelRequest struct {
	From ident.Process `msgpack:"f"`
	// Jobs are the IDs of the jobs.
	Jobs []string `msgpack:"j"`
}

// CancelReply is the reply to a CancelRequest.
type CancelReply struct {
	// Known tells for each of the jobs whether it was under way.
	Known []bool `msgpack:"k"`
}

// Validate checks the values of a request. Errors satisfy errors.IsNotValid.
func (r *CancelRequest) Validate() error {
	if len(r.Jobs) > maxCount {
		return errors.NotValidf("list of %d canceled jobs", len(r.Jobs))
	}
	for _, id := range r.Jobs {
		if id == "" || len(id) > maxNameBytes {
			return errors.NotValidf("canceled job %.80q", id)
		}
	}
	return nil
}
