// Package ident builds and parses submission IDs. An ID names the process
// that issued it, which is the only one that may start its tasks.
package ident

import (
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// MaxSuffix is the longest suffix in bytes.
const MaxSuffix = 64

// MaxInstance is the longest instance name in bytes.
const MaxInstance = 63

// Process identifies one run of a program.
type Process struct {
	// Instance is the name from the settings.
	Instance string `json:"instance" msgpack:"n"`
	// Incarnation is a random number chosen at start.
	Incarnation uint64 `json:"incarnation" msgpack:"i"`
}

// String returns "instance.incarnation", the incarnation in hexadecimal.
func (p Process) String() string {
	return p.Instance + "." + strconv.FormatUint(p.Incarnation, 16)
}

// IsZero reports whether p names no process.
func (p Process) IsZero() bool { return p == Process{} }

// ID is a parsed submission ID.
type ID struct {
	Owner Process
	// Window is the owner's window number at the time of issue.
	Window uint64
	// Suffix distinguishes the submissions of one window.
	Suffix string
}

// String returns the text form of the ID.
func (id ID) String() string { return Prefix(id.Owner, id.Window) + id.Suffix }

// Prefix returns the text before the suffix, with its closing dot.
func Prefix(owner Process, window uint64) string {
	return owner.String() + "." + strconv.FormatUint(window, 10) + "."
}

// Parse parses the text form. Errors satisfy errors.IsNotValid.
func Parse(s string) (ID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return ID{}, errors.NotValidf("submission ID %.200q: want instance.incarnation.window.suffix", s)
	}
	if !ValidName(parts[0], MaxInstance) {
		return ID{}, errors.NotValidf("instance in submission ID %.200q", s)
	}
	inc, err := strconv.ParseUint(parts[1], 16, 64)
	if err != nil || strconv.FormatUint(inc, 16) != parts[1] {
		return ID{}, errors.NotValidf("incarnation in submission ID %.200q", s)
	}
	win, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil || strconv.FormatUint(win, 10) != parts[2] {
		return ID{}, errors.NotValidf("window in submission ID %.200q", s)
	}
	if !ValidName(parts[3], MaxSuffix) {
		return ID{}, errors.NotValidf("suffix in submission ID %.200q: want 1 to %d characters of A-Z, a-z, 0-9, _ and -", s, MaxSuffix)
	}
	return ID{Owner: Process{Instance: parts[0], Incarnation: inc}, Window: win, Suffix: parts[3]}, nil
}

// ValidName reports whether s has 1 to limit characters of [A-Za-z0-9_-].
func ValidName(s string, limit int) bool {
	if len(s) == 0 || len(s) > limit {
		return false
	}
	for i := 0; i < len(s); i++ {
		c := s[i]
		ok := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '_' || c == '-'
		if !ok {
			return false
		}
	}
	return true
}
