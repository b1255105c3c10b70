package model

import (
	"slices"
	"time"
)

// numEntries is the number of entry instances.
const numEntries = 2

// attachment is the state of a sidecar's attachment to an entry instance.
type attachment struct {
	// unwanted is true while the sidecar detaches: its heartbeats say that the worker
	// accepts no runs, and end when no run of the entry instance is left.
	unwanted bool
	ended    bool
	// count is the number of earlier attachments.
	count uint64
}

// firstSession is the session of the first heartbeats of an attachment. The program begins
// with a time, which is not zero either.
func (a *attachment) firstSession() uint64 { return 1 + 1000*a.count }

// detach detaches the sidecar from an entry instance for a time, and reports whether it
// was attached.
func (s *sidecarProcess) detach(entry int, d time.Duration) bool {
	a := &s.attachments[entry]
	if s.dead || a.unwanted {
		return false
	}
	s.world.note("%v detaches from entry-%d for %v", s.id, entry, d)
	a.unwanted = true
	s.after(d, func() {
		a.unwanted = false
		if a.ended {
			a.ended = false
			a.count++
			s.heartbeat(entry)
		}
	})
	return true
}

// remove ends an attachment.
func (s *sidecarProcess) remove(a *attachment, o *modelOwner) {
	a.ended = true
	s.owners = slices.DeleteFunc(s.owners, func(other *modelOwner) bool { return other == o })
}
