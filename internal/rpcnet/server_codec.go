package rpcnet

import (
	"net/rpc"
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
}

func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	if c.unanswered.Load() >= readAhead {
		c.endFrame()
		c.waitForWrite()
	}
	var h requestHeader
	if err := c.readHeader(&h); err != nil {
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
	if err != nil && c.onBadFrame != nil {
		c.onBadFrame(err)
	}
	return err
}

// WriteResponse sends a response. It replaces a response that is too large by an
// error, so that the caller does not wait forever.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	defer c.unanswered.Add(-1)
	h := responseHeader{Method: r.ServiceMethod, Seq: r.Seq, Error: r.Error}
	err := c.writeFrame(h, body, nil)
	if errors.Is(err, ErrBadFrame) {
		h.Error = err.Error()
		return c.writeFrame(h, struct{}{}, nil)
	}
	return err
}

func (c *serverCodec) Close() error { return c.close() }
