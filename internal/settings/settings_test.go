package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
)

const validEntry = `{"entry":{"instance":"e1","zone":"z1","callerAddress":"10.0.0.1:80",
"operatorAddress":"10.0.0.1:81","internalAddress":"10.0.0.1:82","store":{"address":"10.0.0.9:2379"},
"beatInterval":"250ms"}}`

// Guards against a partial file that resets other fields to zero, and against
// defaults that override values of the file.
func TestParseKeepsDefaults(t *testing.T) {
	f, err := Parse([]byte(validEntry))
	if err != nil {
		t.Fatal(err)
	}
	e := f.Entry
	if e.BeatInterval.Std() != 250*time.Millisecond || e.CreditTTL.Std() != 3*time.Second ||
		e.Store.Timeout.Std() != 2*time.Second || f.Sidecar != nil || e.AdvertisedAddress() != "10.0.0.1:82" {
		t.Errorf("got %+v", e)
	}
}

// Guards against a check that stops at the first problem, and against unknown
// fields that are silently ignored.
func TestParseReportsAllProblems(t *testing.T) {
	_, err := Parse([]byte(`{"entry":{"instance":"a b","zone":"","callerAddress":"nowhere","operatorAddress":"10.0.0.1:80",
"internalAddress":"0.0.0.0:82","peers":["x","10.0.0.2:82","10.0.0.2:82"],"store":{"address":"10.0.0.9:0","tiemout":"1s","timeout":5},
"creditTTL":"1s","selfLease":"4s","window":null,"acceptWindows":0,"requestBytes":1,"colour":"red"},
"sidecar":{"instance":"s1","zone":"z","rack":"r","localAddress":"10.0.0.1:1","internalAddress":"10.0.0.1:2",
"operatorAddress":"10.0.0.1:2","entryAddresses":[]},"extra":1}`))
	if !errors.Is(err, errors.NotValid) {
		t.Fatalf("got %v, want a not valid error", err)
	}
	for _, field := range []string{
		"entry.instance", "entry.zone", "entry.callerAddress", "entry.internalAddress", "entry.peers[0]", "entry.peers[2]",
		"entry.store.address", "entry.store.tiemout", "entry.store.timeout", "entry.creditTTL", "entry.deadAfter", "entry.window",
		"entry.acceptWindows", "entry.requestBytes", "entry.colour", "sidecar.localAddress", "sidecar.operatorAddress",
		"sidecar.entryAddresses", "extra",
	} {
		if !strings.Contains(err.Error(), "\n  "+field+": ") {
			t.Errorf("no problem of %s in:\n%v", field, err)
		}
	}
	if !strings.Contains(err.Error(), "entry.creditTTL: 1s: want 1.5s to 1m0s") {
		t.Errorf("no value and range of creditTTL in:\n%v", err)
	}
}

// Guards against a duplicate field whose first value is silently dropped, and
// against an empty allowed range in the message of a field whose bound depends on
// another invalid field.
func TestParseReportsDuplicateFieldsAndRanges(t *testing.T) {
	_, err := Parse([]byte(strings.Replace(validEntry, `"zone":"z1"`, `"zone":"z1","zone":"z2","selfLease":"10m",
		"store":{"address":"10.0.0.9:1","timeout":"1s","timeout":"1s"}`, 1)))
	for _, want := range []string{
		"entry.zone: given twice", "entry.store: given twice", "entry.store.timeout: given twice",
		"entry.selfLease: 10m0s: want 500ms to 1m0s", "entry.deadAfter: 3s: want 1m0s to 5m0s", "5 faults",
	} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("no %q in:\n%v", want, err)
		}
	}
}

// Guards against a panic on, or the acceptance of, a file that is not a single
// object with valid sections.
func TestParseRejectsOtherValues(t *testing.T) {
	for _, text := range []string{"", "[]", "null", "{}", "{} {}", `{"entry":3}`, `{"entry":null}`} {
		if _, err := Parse([]byte(text)); err == nil {
			t.Errorf("Parse(%q) = nil error", text)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validEntry))
	f.Fuzz(func(t *testing.T, data []byte) {
		if file, err := Parse(data); err == nil && file.Check() != nil {
			t.Errorf("accepted settings fail their own check: %v", file.Check())
		}
	})
}

// Guards against example settings that fail the program's own checks.
func TestExampleSettings(t *testing.T) {
	for _, site := range []string{"torno-andino", "safari-deposit-ledger"} {
		for _, role := range []string{"entry", "sidecar"} {
			f, err := Load("../../examples/" + site + "/" + role + ".json")
			if err != nil {
				t.Error(err)
			} else if (f.Entry == nil) == (f.Sidecar == nil) {
				t.Errorf("%s: want exactly one of entry and sidecar in %s.json", site, role)
			}
		}
	}
}
