package sidecar

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// defaultPolicy is the name of the policy that applies to sidecars.
const defaultPolicy = "default"

// configCopy is the sidecar's copy of the configuration document. It is safe for
// concurrent use.
type configCopy struct {
	mu       sync.Mutex // guards the fields below
	revs     wire.Revisions
	document []byte
	pulling  bool
}

func (c *configCopy) revisions() wire.Revisions {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revs
}

// noteRevisions raises the highest known revision to the highest revision in r, which
// another process has reported.
func (c *configCopy) noteRevisions(r wire.Revisions) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revs.Known = max(c.revs.Known, r.Known, r.InForce)
}

// documentAfter returns the revision in force, and the document if that revision is
// above have.
func (c *configCopy) documentAfter(have uint64) (uint64, []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.revs.InForce <= have {
		return c.revs.InForce, nil
	}
	return c.revs.InForce, c.document
}

// beginPull reports whether to pull the document of a peer that has the given
// revisions, and the revision above which to request it. Only one pull runs at a time.
func (c *configCopy) beginPull(peer wire.Revisions) (have uint64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	have = max(c.revs.InForce, c.revs.Rejected)
	if c.pulling || peer.InForce <= have {
		return have, false
	}
	c.pulling = true
	return have, true
}

// endPull ends a pull. It returns the pulled document if it is valid and newer than
// the one in force, which it then replaces. A nil reply means that the pull failed.
func (c *configCopy) endPull(reply *wire.PullConfigReply, validate func([]byte) (*resource.Document, error)) (*resource.Document, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pulling = false
	if reply == nil || len(reply.Document) == 0 || reply.Revision <= c.revs.InForce {
		return nil, nil
	}
	doc, err := validate(reply.Document)
	if err == nil && doc.Revision != reply.Revision {
		err = errors.NotValidf("document with revision %d in a reply with revision %d", doc.Revision, reply.Revision)
	}
	c.revs.Known = max(c.revs.Known, reply.Revision)
	if err != nil {
		c.revs.Rejected = max(c.revs.Rejected, reply.Revision)
		return nil, err
	}
	c.revs.InForce = reply.Revision
	c.document = reply.Document
	return doc, nil
}

// parseDocument is the default of Deps.Validate. It parses the JSON and checks the
// format number.
func parseDocument(document []byte) (*resource.Document, error) {
	doc := &resource.Document{}
	if err := json.Unmarshal(document, doc); err != nil {
		return nil, errors.NewNotValid(err, "configuration document")
	}
	if doc.Format > resource.DocumentFormat {
		return nil, errors.NotValidf("document format %d, newest supported is %d", doc.Format, resource.DocumentFormat)
	}
	return doc, nil
}

// pullConfig pulls the document from an entry instance if it has a newer one.
func (s *Sidecar) pullConfig(l *link, peer wire.Revisions) {
	have, ok := s.config.beginPull(peer)
	if !ok {
		return
	}
	reply := &wire.PullConfigReply{}
	s.call(l, "PullConfig", &wire.PullRequest{HaveRevision: have}, reply, func(now time.Duration, err error) {
		if err != nil {
			s.config.endPull(nil, nil)
			s.callFailed(now, l, "configuration pull", err)
			return
		}
		doc, err := s.config.endPull(reply, s.deps.Validate)
		if err != nil {
			s.deps.Log("config-rejected", "revision %d from %s: %v", reply.Revision, l.addr, err)
		}
		if doc == nil {
			return
		}
		s.deps.Log("config-in-force", "revision %d from %s", doc.Revision, l.addr)
		s.applyDocument(doc)
		for _, other := range s.links {
			other.heartbeatDue = true
		}
	})
}

// applyDocument applies the kinds and the reserved slots of a document.
func (s *Sidecar) applyDocument(doc *resource.Document) {
	s.kinds = doc.Kinds
	policy := doc.Policies[defaultPolicy]
	if policy == nil || policy.Spec.ReserveSlots == nil {
		s.machine.SetReserve(1)
		return
	}
	s.machine.SetReserve(*policy.Spec.ReserveSlots)
}

// setDemand passes a demand summary to the state machine, without the kinds whose
// service is not the service of the backend server.
func (s *Sidecar) setDemand(now time.Duration, entry ident.Process, seq uint64, summary []wire.Demand) {
	if b := s.backend.current; b != nil && s.kinds != nil {
		summary = slices.DeleteFunc(summary, func(d wire.Demand) bool {
			k := s.kinds[d.Class.Kind]
			return k != nil && k.Spec.Service != b.Service
		})
	}
	s.machine.SetNumberedDemand(now, entry, seq, summary)
}
