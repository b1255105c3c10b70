package ident

import (
	"testing"

	"pgregory.net/rapid"
)

// TestRoundTrip guards against text forms that don't parse to the ID that they
// were built from: two texts for one submission would let it start twice.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := SubmissionID{
			Owner: Process{
				Instance:    rapid.StringMatching(`[A-Za-z0-9_-]{1,63}`).Draw(t, "instance"),
				Incarnation: rapid.Uint64().Draw(t, "incarnation"),
			},
			Window: rapid.Uint64().Draw(t, "window"),
			Suffix: rapid.StringMatching(`[A-Za-z0-9_-]{1,64}`).Draw(t, "suffix"),
		}
		got, err := ParseSubmissionID(id.String())
		if err != nil || got != id {
			t.Fatalf("ParseSubmissionID(%q) = %+v, %v", id.String(), got, err)
		}
	})
}

// FuzzParse guards against texts that parse although they are not in canonical
// form.
func FuzzParse(f *testing.F) {
	for _, s := range []string{"", "a.1.2.x", "a.01.2.x", "a.1.02.x", "a.1.2.", "a.1.2.x.y", "é.1.2.x"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		id, err := ParseSubmissionID(s)
		if err == nil && id.String() != s {
			t.Fatalf("ParseSubmissionID(%q) is not canonical: %q", s, id.String())
		}
	})
}
