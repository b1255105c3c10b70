// Package ident identifies processes and builds and parses submission IDs. A
// submission ID names its owner, the process that issued it. Only the owner may
// start the tasks of the submission.
package ident

import (
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// MaxSuffixLen is the largest length of the suffix of a submission ID in bytes.
const MaxSuffixLen = 64

// MaxInstanceLen is the largest length of an instance name in bytes.
const MaxInstanceLen = 63

// Process identifies one process: one incarnation of a named instance.
type Process struct {
	// Instance is the name from the settings.
	Instance string `json:"instance" msgpack:"n"`
	// Incarnation is a random number that the process chooses at its start.
	Incarnation uint64 `json:"incarnation" msgpack:"i"`
}

// String returns "instance.incarnation" with the incarnation in hexadecimal.
func (p Process) String() string {
	return p.Instance + "." + strconv.FormatUint(p.Incarnation, 16)
}

// IsZero reports whether p is the zero value, which identifies no process.
func (p Process) IsZero() bool { return p == Process{} }

// SubmissionID is a parsed submission ID.
type SubmissionID struct {
	Owner Process
	// Window is the number of the owner's submission window in which the ID was
	// issued.
	Window uint64
	// Suffix distinguishes the submission IDs of one window.
	Suffix string
}

// String returns the text form of the ID.
func (id SubmissionID) String() string { return SubmissionPrefix(id.Owner, id.Window) + id.Suffix }

// SubmissionPrefix returns the part of a submission ID before the suffix,
// including the dot that precedes the suffix.
func SubmissionPrefix(owner Process, window uint64) string {
	return owner.String() + "." + strconv.FormatUint(window, 10) + "."
}

// ParseSubmissionID parses the text form of a submission ID. It accepts only the
// canonical form. Errors satisfy errors.IsNotValid.
func ParseSubmissionID(s string) (SubmissionID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return SubmissionID{}, errors.NotValidf("submission ID %.200q: want instance.incarnation.window.suffix", s)
	}
	if !ValidName(parts[0], MaxInstanceLen) {
		return SubmissionID{}, errors.NotValidf("instance in submission ID %.200q", s)
	}
	incarnation, err := strconv.ParseUint(parts[1], 16, 64)
	if err != nil || strconv.FormatUint(incarnation, 16) != parts[1] {
		return SubmissionID{}, errors.NotValidf("incarnation in submission ID %.200q", s)
	}
	window, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil || strconv.FormatUint(window, 10) != parts[2] {
		return SubmissionID{}, errors.NotValidf("window in submission ID %.200q", s)
	}
	if !ValidName(parts[3], MaxSuffixLen) {
		return SubmissionID{}, errors.NotValidf("suffix in submission ID %.200q: want 1 to %d characters of A-Z, a-z, 0-9, _ and -", s, MaxSuffixLen)
	}
	return SubmissionID{Owner: Process{Instance: parts[0], Incarnation: incarnation}, Window: window, Suffix: parts[3]}, nil
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
