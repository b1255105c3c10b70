package rpcnet

import (
	"net/rpc"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"
)

// readAhead is the number of unanswered requests of a connection beyond which a server reads no
// other one while it writes an answer. A client that sends requests and does not read the answers
// would otherwise leave an unbounded number of them waiting.
const readAhead = 16

type serverCodec struct {
	*framer
	onBadFrame func(error)
	// unanswered is the number of requests that were read and not answered.
	unanswered atomic.Int64

	mu sync.Mutex // guards the field below
	// kept holds the functions that give back the room of the unanswered requests, by sequence
	// number.
	kept map[uint64]func()
}

// keep keeps the room of the current frame until its request is answered.
func (c *serverCodec) keep(seq uint64) error {
	if c.intake == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.kept[seq] != nil {
		return errors.Annotatef(ErrBadFrame, "two requests with the number %d", seq)
	}
	if c.kept == nil {
		c.kept = map[uint64]func(){}
	}
	c.kept[seq] = c.intake.Keep()
	return nil
}

// giveBack gives back the room of a request that is answered.
func (c *serverCodec) giveBack(seq uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if release := c.kept[seq]; release != nil {
		release()
		delete(c.kept, seq)
	}
}

func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	if c.unanswered.Load() >= readAhead {
		c.endFrame()
		c.waitForWrite()
	}
	var h requestHeader
	err := c.readHeader(&h)
	if err == nil {
		err = c.keep(h.Seq)
	}
	if err != nil {
		// net/rpc closes the connection when all its handlers have ended.
		c.endFrame()
		if errors.Is(err, ErrBadFrame) && c.onBadFrame != nil {
			c.onBadFrame(err)
		}
		return err
	}
	r.ServiceMethod = h.Method
	r.Seq = h.Seq
	c.unanswered.Add(1)
	return nil
}

func (c *serverCodec) ReadRequestBody(v any) error {
	err := c.readBody(v)
	if errors.Is(err, ErrBadFrame) && c.onBadFrame != nil {
		c.onBadFrame(err)
	}
	return err
}

// WriteResponse sends a response. It replaces a response that is too large by an
// error, so that the caller does not wait forever.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	defer c.unanswered.Add(-1)
	defer c.giveBack(r.Seq)
	h := responseHeader{Method: r.ServiceMethod, Seq: r.Seq, Error: r.Error}
	err := c.writeFrame(h, body, nil)
	if errors.Is(err, ErrBadFrame) {
		h.Error = err.Error()
		return c.writeFrame(h, struct{}{}, nil)
	}
	return err
}

func (c *serverCodec) Close() error { return c.close() }
