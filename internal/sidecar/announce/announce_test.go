package announce

import (
	"strings"
	"testing"

	"github.com/juju/errors"
)

const validBody = `{"name":"b-1","address":"127.0.0.1:80","service":"demo","slots":8,"leaseSeconds":3}`

// TestParse guards against the acceptance of invalid announcements.
func TestParse(t *testing.T) {
	a, err := Parse([]byte(validBody))
	if err != nil || a.Connections != 8 || a.Lease().Seconds() != 3 {
		t.Fatalf("valid announcement: %+v, %v", a, err)
	}
	for _, replacement := range [][2]string{
		{`"slots":8`, `"slots":0`}, {`"slots":8`, `"slots":99999`}, {`"slots":8`, `"slots":8,"other":1`},
		{`"name":"b-1"`, `"name":""`}, {`"name":"b-1"`, `"name":"a b"`}, {`"service":"demo"`, `"service":"` + strings.Repeat("x", MaxBodyBytes) + `"`},
		{`127.0.0.1:80`, `127.0.0.1`}, {`127.0.0.1:80`, `https://127.0.0.1:80`}, {`127.0.0.1:80`, `127.0.0.1:0`},
		{`"leaseSeconds":3`, `"leaseSeconds":0`}, {`"leaseSeconds":3`, `"leaseSeconds":1e9`},
		{`"leaseSeconds":3}`, `"leaseSeconds":3}{}`}, {`{`, ``},
	} {
		body := strings.Replace(validBody, replacement[0], replacement[1], 1)
		if _, err := Parse([]byte(body)); !errors.Is(err, errors.NotValid) {
			t.Errorf("%.80s accepted: %v", body, err)
		}
	}
}

// FuzzParse guards against a panic on any body, and against the acceptance of values out
// of bounds.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validBody))
	f.Fuzz(func(t *testing.T, body []byte) {
		a, err := Parse(body)
		if err != nil {
			return
		}
		if a.Slots < 1 || a.Connections < 1 || a.Lease() <= 0 || a.Lease() > MaxLease {
			t.Fatalf("accepted %+v", a)
		}
	})
}
