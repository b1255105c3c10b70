package ingress

import (
	"io"

	"github.com/juju/errors"
)

const (
	errBodyTooLarge = errors.ConstError("body too large")
	errNoRoom       = errors.ConstError("no room for the body")
)

// bodyReader reads one body.
type bodyReader struct {
	stream io.Reader
	conn   *Conn
	// length is the announced length, negative if there is none, and limit the largest one.
	length, limit int
}

// read returns the whole body. Errors are errBodyTooLarge, errNoRoom, or those of the stream.
func (b *bodyReader) read() ([]byte, error) {
	if b.length > b.limit {
		return nil, errBodyTooLarge
	}
	// most is the largest buffer. Without an announced length, a byte beyond the limit shows that
	// the body is too large.
	most := b.length
	if most < 0 {
		most = b.limit + 1
	}
	var body []byte
	for b.length != 0 {
		if len(body) == cap(body) {
			size := min(max(2*cap(body), stepBytes), most)
			if !b.conn.Take(size) {
				return nil, errNoRoom
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := b.stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > b.limit:
			return nil, errBodyTooLarge
		case len(body) == b.length, errors.Is(err, io.EOF) && b.length < 0:
			return body, nil
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
	}
	return body, nil
}
