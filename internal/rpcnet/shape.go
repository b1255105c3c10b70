package rpcnet

import (
	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

const (
	// valuesPerFrame are the header and the body.
	valuesPerFrame = 2
	// maxDepth is the largest number of arrays and maps inside each other. The decoder calls
	// itself for each of them.
	maxDepth = 32
	// maxElements is the largest number of elements of all arrays of a frame, and elementBytes the
	// memory of a decoded one, which may take one byte in the frame.
	maxElements  = MaxFrameBytes / 16
	elementBytes = 256
	// requestBytes is the memory of a request that waits for its answer, beside its frame.
	requestBytes = 4 << 10
)

// shape walks the values of a frame without decoding them.
type shape struct {
	left     []byte
	elements int
}

// checkShape returns the number of elements of all arrays of a frame, or ErrBadFrame if a value
// announces more than the frame contains, or is outside maxDepth or maxElements. The decoder
// allocates announced arrays before it reads them.
func checkShape(frame []byte) (elements int, err error) {
	s := shape{left: frame}
	for range valuesPerFrame {
		if len(s.left) == 0 {
			break // the decoder reports a value that is missing
		}
		if err := s.skipValue(); err != nil {
			return 0, err
		}
	}
	return s.elements, nil
}

// skipValue skips a value with all that it contains.
func (s *shape) skipValue() error {
	// open holds the number of values that are left in each array and map.
	open := [maxDepth + 1]int{1}
	for depth := 0; depth >= 0; {
		if open[depth] == 0 {
			depth--
			continue
		}
		open[depth]--
		contained, err := s.skipCode()
		if err != nil {
			return err
		}
		if contained == 0 {
			continue
		}
		if depth == maxDepth {
			return errors.Annotatef(ErrBadFrame, "more than %d values inside each other", maxDepth)
		}
		depth++
		open[depth] = contained
	}
	return nil
}

// skipCode skips a value, or the beginning of an array or a map. It returns the number of values
// that the array or map contains.
func (s *shape) skipCode() (contained int, err error) {
	code, err := s.number(1)
	if err != nil {
		return 0, err
	}
	switch c := byte(code); {
	case msgpcode.IsFixedNum(c), c == msgpcode.Nil, c == msgpcode.False, c == msgpcode.True:
		return 0, nil
	case msgpcode.IsFixedMap(c):
		return s.container(2 * int(c&msgpcode.FixedMapMask))
	case msgpcode.IsFixedArray(c):
		return s.array(int(c & msgpcode.FixedArrayMask))
	case msgpcode.IsFixedString(c):
		return 0, s.skip(int(c & msgpcode.FixedStrMask))
	case c >= msgpcode.Uint8 && c <= msgpcode.Uint64:
		return 0, s.skip(1 << (c - msgpcode.Uint8))
	case c >= msgpcode.Int8 && c <= msgpcode.Int64:
		return 0, s.skip(1 << (c - msgpcode.Int8))
	case c == msgpcode.Float:
		return 0, s.skip(4)
	case c == msgpcode.Double:
		return 0, s.skip(8)
	case c >= msgpcode.FixExt1 && c <= msgpcode.FixExt16:
		return 0, s.skip(1 + 1<<(c-msgpcode.FixExt1))
	case c >= msgpcode.Str8 && c <= msgpcode.Str32:
		return 0, s.skipSized(1<<(c-msgpcode.Str8), 0)
	case c >= msgpcode.Bin8 && c <= msgpcode.Bin32:
		return 0, s.skipSized(1<<(c-msgpcode.Bin8), 0)
	case c >= msgpcode.Ext8 && c <= msgpcode.Ext32:
		return 0, s.skipSized(1<<(c-msgpcode.Ext8), 1)
	case c == msgpcode.Array16, c == msgpcode.Array32:
		n, err := s.number(2 << (c - msgpcode.Array16))
		if err != nil {
			return 0, err
		}
		return s.array(n)
	case c == msgpcode.Map16, c == msgpcode.Map32:
		n, err := s.number(2 << (c - msgpcode.Map16))
		if err != nil {
			return 0, err
		}
		return s.container(2 * n)
	}
	return 0, errors.Annotatef(ErrBadFrame, "unknown code %#x", code)
}

// array checks the announced length of an array.
func (s *shape) array(n int) (int, error) {
	if s.elements += n; s.elements > maxElements {
		return 0, errors.Annotatef(ErrBadFrame, "more than %d elements of arrays", maxElements)
	}
	return s.container(n)
}

// container checks the announced number of values of an array or a map, of which each takes a byte
// or more.
func (s *shape) container(values int) (int, error) {
	if values > len(s.left) {
		return 0, errors.Annotatef(ErrBadFrame, "%d values announced, %d bytes left", values, len(s.left))
	}
	return values, nil
}

// number reads a big-endian number of that many bytes, at most four.
func (s *shape) number(bytes int) (int, error) {
	start := s.left
	if err := s.skip(bytes); err != nil {
		return 0, err
	}
	n := 0
	for _, b := range start[:bytes] {
		n = n<<8 | int(b)
	}
	return n, nil
}

// skipSized skips data after its length, which has that many bytes, and extra bytes.
func (s *shape) skipSized(lengthBytes, extra int) error {
	n, err := s.number(lengthBytes)
	if err != nil {
		return err
	}
	return s.skip(n + extra)
}

func (s *shape) skip(n int) error {
	if n > len(s.left) {
		return errors.Annotatef(ErrBadFrame, "%d bytes announced, %d left", n, len(s.left))
	}
	s.left = s.left[n:]
	return nil
}
