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

// policyDefault is the name of the policy that is used.
const policyDefault = "default"

// configCopy is the sidecar's copy of the configuration document.
type configCopy struct {
	mu      sync.Mutex // guards the fields below
	rev     wire.Revisions
	raw     []byte
	pulling bool
}

func (c *configCopy) revisions() wire.Revisions {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rev
}

func (c *configCopy) heard(r wire.Revisions) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rev.Known = max(c.rev.Known, r.Known, r.InForce)
}

// newer returns the document if its revision is above have.
func (c *configCopy) newer(have uint64) (uint64, []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rev.InForce <= have {
		return c.rev.InForce, nil
	}
	return c.rev.InForce, c.raw
}

// begin reports whether a document with the peer's revisions is worth a pull,
// and the revision to ask above. Only one pull runs at a time.
func (c *configCopy) begin(peer wire.Revisions) (have uint64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	have = max(c.rev.InForce, c.rev.Rejected)
	if c.pulling || peer.InForce <= have {
		return have, false
	}
	c.pulling = true
	return have, true
}

// end takes the pulled document if it is newer than the one in force.
func (c *configCopy) end(reply *wire.PullConfigReply, validate func([]byte) (*resource.Document, error)) (*resource.Document, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pulling = false
	if reply == nil || len(reply.Document) == 0 || reply.Revision <= c.rev.InForce {
		return nil, nil
	}
	doc, err := validate(reply.Document)
	if err == nil && doc.Revision != reply.Revision {
		err = errors.NotValidf("document of revision %d, announced as %d", doc.Revision, reply.Revision)
	}
	c.rev.Known = max(c.rev.Known, reply.Revision)
	if err != nil {
		c.rev.Rejected = max(c.rev.Rejected, reply.Revision)
		return nil, err
	}
	c.rev.InForce = reply.Revision
	c.raw = reply.Document
	return doc, nil
}

// parseDocument is the default validation: the JSON form and its format.
func parseDocument(document []byte) (*resource.Document, error) {
	doc := &resource.Document{}
	if err := json.Unmarshal(document, doc); err != nil {
		return nil, errors.NewNotValid(err, "configuration document")
	}
	if doc.Format > resource.DocumentFormat {
		return nil, errors.NotValidf("document format %d, newest known is %d", doc.Format, resource.DocumentFormat)
	}
	return doc, nil
}

// pullConfig pulls the document from an entry instance that has a newer one.
func (s *Sidecar) pullConfig(l *link, peer wire.Revisions) {
	have, ok := s.config.begin(peer)
	if !ok {
		return
	}
	reply := &wire.PullConfigReply{}
	s.call(l, "PullConfig", &wire.PullRequest{HaveRevision: have}, reply, func(now time.Duration, err error) {
		if err != nil {
			s.config.end(nil, nil)
			s.failed(now, l, "pull configuration", err)
			return
		}
		doc, err := s.config.end(reply, s.deps.Validate)
		if err != nil {
			s.deps.Log("config-rejected", "revision %d from %s: %v", reply.Revision, l.addr, err)
		}
		if doc == nil {
			return
		}
		s.deps.Log("config-in-force", "revision %d from %s", doc.Revision, l.addr)
		s.applyPolicy(doc)
		for _, o := range s.links {
			o.beat = true
		}
	})
}

// applyPolicy puts the parts of a document in force that concern a sidecar.
func (s *Sidecar) applyPolicy(doc *resource.Document) {
	s.kinds = doc.Kinds
	p := doc.Policies[policyDefault]
	if p == nil || p.Spec.ReserveSlots == nil {
		s.m.SetReserve(1)
		return
	}
	s.m.SetReserve(*p.Spec.ReserveSlots)
}

// demand passes a demand summary on, without the kinds of other services.
func (s *Sidecar) demand(now time.Duration, entry ident.Process, summary []wire.Demand) {
	if b := s.backend.current; b != nil && s.kinds != nil {
		summary = slices.DeleteFunc(summary, func(d wire.Demand) bool {
			k := s.kinds[d.Class.Kind]
			return k != nil && k.Spec.Service != b.Service
		})
	}
	s.m.SetDemand(now, entry, summary)
}
