package ingress

import (
	"io"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/chunks"
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
	switch {
	case b.length > b.limit:
		return nil, errBodyTooLarge
	case b.length == 0:
		return nil, nil
	case b.length > 0 && b.length <= stepBytes:
		return b.readSmall()
	}
	return b.readLarge()
}

// readSmall reads an announced body of one step.
func (b *bodyReader) readSmall() ([]byte, error) {
	if !b.conn.Take(b.length) {
		return nil, errNoRoom
	}
	body := make([]byte, b.length)
	if _, err := io.ReadFull(b.stream, body); err != nil {
		return nil, err
	}
	return body, nil
}

// readLarge reads a body in steps, of which each takes as much room as the ones before.
func (b *bodyReader) readLarge() ([]byte, error) {
	var buffer chunks.Buffer
	defer buffer.Release()
	// most is the largest room. Without an announced length, a byte beyond the limit shows that
	// the body is too large.
	most := b.length
	if most < 0 {
		most = b.limit + 1
	}
	for room := 0; ; {
		if buffer.Len() == room {
			room = chunks.NextRoom(room, most)
			if !b.conn.Take(room) {
				return nil, errNoRoom
			}
		}
		space := buffer.Free()
		n, err := b.stream.Read(space[:min(len(space), room-buffer.Len())])
		buffer.Add(n)
		switch {
		case buffer.Len() > b.limit:
			return nil, errBodyTooLarge
		case buffer.Len() == b.length, errors.Is(err, io.EOF) && b.length < 0:
			return buffer.AppendTo(make([]byte, 0, buffer.Len())), nil
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
	}
}
