// Package jsonlist decodes JSON arrays of clients that nobody controls. An element takes a few
// bytes in the text and up to a few hundred in memory, so the length of an array has to be bounded
// before its elements are decoded.
package jsonlist

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// TooLongError means that an array has more elements than it may have.
type TooLongError struct{ Length, Most int }

// Error implements error.
func (e *TooLongError) Error() string {
	return fmt.Sprintf("list of %d elements, allowed %d", e.Length, e.Most)
}

// Decode decodes a JSON array of at most most elements. Errors are *TooLongError, or those of
// encoding/json.
func Decode[T any](text []byte, most int) (list []T, err error) {
	if err := checkLength(text, most); err != nil {
		return nil, err
	}
	err = json.Unmarshal(text, &list)
	return list, err
}

// DecodeStrict is Decode that returns an error for a field that an element does not have.
func DecodeStrict[T any](text []byte, most int) (list []T, err error) {
	if err := checkLength(text, most); err != nil {
		return nil, err
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	err = decoder.Decode(&list)
	return list, err
}

func checkLength(text []byte, most int) error {
	// An empty array counts as one of one element.
	if n := 1 + commas(text); n > max(most, 1) {
		return &TooLongError{n, most}
	}
	return nil
}

// commas counts the commas between the elements of an array, which are those outside of other
// values. It returns zero for other values.
func commas(text []byte) int {
	if !bytes.HasPrefix(bytes.TrimSpace(text), []byte{'['}) {
		return 0
	}
	depth, found := 0, 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			i = endOfString(text, i)
		case '[', '{':
			depth++
		case ']', '}':
			depth--
		case ',':
			if depth == 1 {
				found++
			}
		}
	}
	return found
}

// endOfString returns the position of the quote that ends a string, or the last one of a string
// that does not end.
func endOfString(text []byte, start int) int {
	for i := start + 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(text) - 1
}
