// Package rpcnet runs net/rpc over length-prefixed msgpack frames. A frame is a
// big-endian uint32 length followed by that number of bytes: the header, then the
// body. A receiver closes the connection on an empty frame, a frame above
// MaxFrameBytes, values that announce more than the frame contains, and a header that
// it cannot decode. On another body that it cannot decode, a server replies with an
// error, and a client closes the connection.
package rpcnet

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"net/rpc"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cardamomturn/cardamomturn/internal/chunks"
)

// MaxFrameBytes is the largest size of a frame without its length prefix.
const MaxFrameBytes = 4 << 20

const (
	lengthPrefixBytes = 4
	readBufferBytes   = 8 << 10
	// maxKeptBufferBytes is the largest frame buffer that a connection reuses for
	// the next frame; larger buffers are released.
	maxKeptBufferBytes = 256 << 10
	// firstStepBytes is the first step in which a frame is read. Each further step takes as much
	// room as the ones before, so that an announced length takes none before its bytes arrive.
	firstStepBytes = chunks.Size
)

// ErrBadFrame is the cause of errors about malformed or oversized frames.
const ErrBadFrame = errors.ConstError("malformed frame")

type requestHeader struct {
	Method string `msgpack:"m"`
	Seq    uint64 `msgpack:"q"`
}

type responseHeader struct {
	Method string `msgpack:"m"`
	Seq    uint64 `msgpack:"q"`
	Error  string `msgpack:"e,omitempty"`
}

// ErrNoRoom means that a server has no room for a request, which it has not carried out.
const ErrNoRoom = errors.ConstError("no room for the request")

// Intake bounds the memory of the frames that arrive on a connection, and of the requests in them
// until they are answered. Connections that a server accepts may implement it. Its methods are
// called by the goroutine that reads, and those that Keep returns by any.
type Intake interface {
	// Take asks for room for that many bytes of the current frame in all.
	Take(total int) bool
	// Start is called when a frame is complete, and End before the next one is read. Start returns
	// false if the connection was closed meanwhile; the frame must not be handled then.
	Start() bool
	End()
	// Refuse is called for a frame for which there is no room.
	Refuse()
	// Keep makes the room of the current frame stay taken after End, until release is called.
	Keep() (release func())
}

// framer reads and writes frames on one connection. Only one goroutine may read;
// writeMu serializes writes.
type framer struct {
	conn   io.ReadWriteCloser
	reader *bufio.Reader
	inBuf  []byte
	// intake is nil if nothing bounds the frames that arrive.
	intake Intake
	// refused is true if there is no room for the current frame, of which inBuf has the beginning.
	refused bool
	decoder *msgpack.Decoder

	writeMu sync.Mutex
	outBuf  bytes.Buffer
	encoder *msgpack.Encoder

	closeOnce sync.Once
}

func newFramer(conn io.ReadWriteCloser) *framer {
	f := &framer{conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes)}
	f.decoder = msgpack.NewDecoder(nil)
	f.encoder = msgpack.NewEncoder(&f.outBuf)
	return f
}

// readHeader reads one frame and decodes its header.
func (f *framer) readHeader(header any) error {
	f.endFrame()
	var length [lengthPrefixBytes]byte
	if _, err := io.ReadFull(f.reader, length[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(length[:])
	if n == 0 || n > MaxFrameBytes {
		return errors.Annotatef(ErrBadFrame, "length %d, allowed 1 to %d", n, MaxFrameBytes)
	}
	if err := f.readFrame(int(n)); err != nil {
		return err
	}
	processTraffic.receivedFrames.Add(1)
	if err := f.startFrame(int(n)); err != nil {
		return err
	}
	f.decoder.Reset(bytes.NewReader(f.inBuf))
	if err := f.decode(header); err != nil {
		return errors.Annotatef(ErrBadFrame, "header: %v", err)
	}
	return nil
}

// decode decodes the next value of the current frame. A panic in decoding is an error: one message
// must not end the process.
func (f *framer) decode(v any) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = errors.Errorf("panic: %v", cause)
		}
	}()
	return f.decoder.Decode(v)
}

// endFrame gives back the room of the frame before, and releases its buffer if it is large.
func (f *framer) endFrame() {
	most := maxKeptBufferBytes
	if f.intake != nil {
		f.intake.End()
		most = firstStepBytes
	}
	if cap(f.inBuf) > most {
		f.inBuf = nil
	}
}

// readFrame reads n bytes into inBuf, or the beginning of them if there is no room for all.
func (f *framer) readFrame(n int) error {
	f.inBuf, f.refused = f.inBuf[:0], false
	if n <= max(cap(f.inBuf), firstStepBytes) {
		return f.readSmallFrame(n)
	}
	var buffer chunks.Buffer
	defer buffer.Release()
	for room := 0; buffer.Len() < n; {
		if buffer.Len() == room {
			room = chunks.NextRoom(room, n)
			if !f.take(room) {
				return f.skipFrame(n, &buffer)
			}
		}
		space := buffer.Free()
		read, err := io.ReadFull(f.reader, space[:min(len(space), room-buffer.Len())])
		buffer.Add(read)
		if err != nil {
			return err
		}
	}
	f.inBuf = buffer.AppendTo(make([]byte, 0, n))
	return nil
}

// readSmallFrame reads a frame that fits into one step, or into the buffer of the frame before,
// which belongs to the connection: there is always room to read it.
func (f *framer) readSmallFrame(n int) error {
	f.refused = !f.take(n)
	if cap(f.inBuf) < n {
		f.inBuf = make([]byte, n)
	}
	f.inBuf = f.inBuf[:n]
	_, err := io.ReadFull(f.reader, f.inBuf)
	return err
}

// skipFrame reads the rest of a frame of n bytes for which there is no room, and keeps at most a
// step of its beginning, which contains the header.
func (f *framer) skipFrame(n int, begun *chunks.Buffer) error {
	f.refused = true
	left := n - begun.Len()
	begun.Truncate(firstStepBytes)
	if begun.Len() == 0 {
		space := begun.Free()
		read, err := io.ReadFull(f.reader, space[:min(len(space), left)])
		if begun.Add(read); err != nil {
			return err
		}
		left -= read
	}
	f.inBuf = begun.AppendTo(f.inBuf)
	_, err := io.CopyN(io.Discard, f.reader, int64(left))
	return err
}

// take asks for room for that many bytes of the current frame in all.
func (f *framer) take(total int) bool { return f.intake == nil || f.intake.Take(total) }

// startFrame checks a complete frame of n bytes and takes room for what is decoded from it.
func (f *framer) startFrame(n int) error {
	if !f.refused {
		elements, err := checkShape(f.inBuf)
		if err != nil {
			return err
		}
		f.refused = !f.take(n + elements*elementBytes + requestBytes)
	}
	if f.refused {
		f.intake.Refuse()
	}
	if f.intake != nil && !f.intake.Start() {
		return errors.Trace(ErrNoRoom)
	}
	return nil
}

// readBody decodes into v the body of the frame that readHeader has read. If v is
// nil, readBody skips the body.
func (f *framer) readBody(v any) error {
	if v == nil {
		return nil
	}
	if f.refused {
		return ErrNoRoom
	}
	if err := f.decode(v); err != nil {
		return errors.Annotatef(ErrBadFrame, "body: %v", err)
	}
	return nil
}

// writeFrame sends one frame. For an oversized frame it sends nothing and returns
// an error. It sets mayBeSent, if not nil, before it sends the first byte.
func (f *framer) writeFrame(header, body any, mayBeSent *atomic.Bool) error {
	f.writeMu.Lock()
	defer f.writeMu.Unlock()
	if f.outBuf.Cap() > maxKeptBufferBytes {
		f.outBuf = bytes.Buffer{}
		f.encoder.Reset(&f.outBuf)
	}
	f.outBuf.Reset()
	f.outBuf.Write(make([]byte, lengthPrefixBytes))
	if err := f.encoder.Encode(header); err != nil {
		return errors.Annotate(err, "encode header")
	}
	if err := f.encoder.Encode(body); err != nil {
		return errors.Annotate(err, "encode body")
	}
	n := f.outBuf.Len() - lengthPrefixBytes
	if n > MaxFrameBytes {
		return errors.Annotatef(ErrBadFrame, "length %d, allowed 1 to %d", n, MaxFrameBytes)
	}
	binary.BigEndian.PutUint32(f.outBuf.Bytes(), uint32(n))
	processTraffic.sentFrames.Add(1)
	if mayBeSent != nil {
		mayBeSent.Store(true)
	}
	_, err := f.conn.Write(f.outBuf.Bytes())
	return err
}

// waitForWrite waits until the frame that is being written, if any, has been written.
func (f *framer) waitForWrite() {
	f.writeMu.Lock()
	defer f.writeMu.Unlock()
}

func (f *framer) close() error {
	var err error
	f.closeOnce.Do(func() { err = f.conn.Close() })
	return err
}

type clientCodec struct {
	*framer
	// onDisconnect is called when the connection ends; it may be nil.
	onDisconnect func()
}

// trackedRequest is the body of a request with a flag that is set once the request
// may have been sent. The errors of net/rpc do not make this distinction: if a
// connection ends while it is being closed, a call that was sent fails with the same
// error as a call that was not sent.
type trackedRequest struct {
	body      any
	mayBeSent atomic.Bool
}

func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	o := body.(*trackedRequest)
	return c.writeFrame(requestHeader{Method: r.ServiceMethod, Seq: r.Seq}, o.body, &o.mayBeSent)
}

func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	var h responseHeader
	if err := c.readHeader(&h); err != nil {
		if c.onDisconnect != nil {
			c.onDisconnect()
		}
		return err
	}
	r.ServiceMethod = h.Method
	r.Seq = h.Seq
	r.Error = h.Error
	return nil
}

func (c *clientCodec) ReadResponseBody(v any) error { return c.readBody(v) }

func (c *clientCodec) Close() error { return c.close() }
