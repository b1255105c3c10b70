package settings

import (
	"fmt"
	"net/netip"
	"sort"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
)

// Problem is one fault of the settings.
type Problem struct {
	// Field is the path of the field, for example "entry.store.address".
	Field string `json:"field"`
	// Value is the text of the value at fault.
	Value string `json:"value"`
	// Want says what is allowed.
	Want string `json:"want"`
}

// String returns the fault on one line.
func (p Problem) String() string { return fmt.Sprintf("%s: %s: want %s", p.Field, p.Value, p.Want) }

// Problems is the error that lists all faults, sorted by field.
type Problems struct{ List []Problem }

// Error lists the faults, one a line.
func (p *Problems) Error() string {
	sort.SliceStable(p.List, func(i, j int) bool { return p.List[i].Field < p.List[j].Field })
	lines := make([]string, 0, len(p.List)+1)
	lines = append(lines, fmt.Sprintf("%d faults in the settings", len(p.List)))
	for _, one := range p.List {
		lines = append(lines, one.String())
	}
	return strings.Join(lines, "\n  ")
}

// Is makes the error satisfy errors.Is(err, errors.NotValid).
func (p *Problems) Is(target error) bool { return target == errors.NotValid }

func (p *Problems) add(field string, value any, want string, args ...any) {
	text := fmt.Sprint(value)
	if s, ok := value.(string); ok && s == "" {
		text = `""`
	}
	p.List = append(p.List, Problem{Field: field, Value: shorten(text), Want: fmt.Sprintf(want, args...)})
}

func (f *File) check(p *Problems) {
	if f.Entry != nil {
		f.Entry.check(p)
	}
	if f.Sidecar != nil {
		f.Sidecar.check(p)
	}
	if f.Standalone != nil {
		f.Standalone.check(p)
	}
}

func (e *Entry) check(p *Problems) {
	p.name("entry.instance", e.Instance)
	p.name("entry.zone", e.Zone)
	p.name("entry.region", e.Region)
	p.listen("entry.callerAddress", e.CallerAddress, 1)
	p.listen("entry.operatorAddress", e.OperatorAddress, 1)
	p.internal("entry", e.InternalAddress, e.AdvertiseAddress)
	p.distinct(map[string]string{
		"entry.callerAddress": e.CallerAddress, "entry.operatorAddress": e.OperatorAddress,
		"entry.internalAddress": e.InternalAddress,
	})
	p.targets("entry.peers", e.Peers)
	p.target("entry.store.address", e.Store.Address)
	p.duration("entry.store.timeout", e.Store.Timeout, 10*time.Millisecond, time.Minute)
	e.Timing.check("entry", p)
	p.number("entry.acceptWindows", int64(e.AcceptWindows), 1, maxAccept)
	p.number("entry.retainWindows", int64(e.RetainWindows), int64(min(e.AcceptWindows, maxAccept))+1, 240)
	p.number("entry.requestBytes", int64(e.RequestBytes), 1<<10, 4<<20)
	p.number("entry.answerBytes", e.AnswerBytes, 1<<20, 1<<30)
}

func (s *Sidecar) check(p *Problems) {
	p.name("sidecar.instance", s.Instance)
	p.name("sidecar.zone", s.Zone)
	p.name("sidecar.region", s.Region)
	p.name("sidecar.rack", s.Rack)
	p.loopback("sidecar.localAddress", s.LocalAddress)
	p.listen("sidecar.operatorAddress", s.OperatorAddress, 1)
	p.internal("sidecar", s.InternalAddress, s.AdvertiseAddress)
	p.distinct(map[string]string{
		"sidecar.localAddress": s.LocalAddress, "sidecar.operatorAddress": s.OperatorAddress,
		"sidecar.internalAddress": s.InternalAddress,
	})
	if len(s.EntryAddresses) == 0 {
		p.add("sidecar.entryAddresses", "[]", "at least one ip:port")
	}
	p.targets("sidecar.entryAddresses", s.EntryAddresses)
	s.Timing.check("sidecar", p)
	// A ledger entry has to outlive the owner's memory of the submission, which
	// is at least two windows.
	p.number("sidecar.ledgerWindows", int64(s.LedgerWindows), 3, 241)
	p.number("sidecar.ledgerBytes", s.LedgerBytes, 1<<20, 1<<30)
	p.number("sidecar.resultBytes", int64(s.ResultBytes), 1<<10, 2<<20)
}

func (s *Standalone) check(p *Problems) {
	p.listen("standalone.callerAddress", s.CallerAddress, 0)
	p.listen("standalone.operatorAddress", s.OperatorAddress, 0)
	p.distinct(map[string]string{
		"standalone.callerAddress": s.CallerAddress, "standalone.operatorAddress": s.OperatorAddress,
	})
	p.number("standalone.backends", int64(s.Backends), 1, 64)
	p.number("standalone.slots", int64(s.Slots), 1, 1024)
	s.Timing.check("standalone", p)
}

// Upper bounds that other ranges begin at. A value above one is counted as the
// bound there, so that one fault doesn't make another range empty.
const (
	maxAccept    = 60 // windows
	maxBeat      = 10 * time.Second
	maxSelfLease = time.Minute
)

func (t *Timing) check(at string, p *Problems) {
	beat, lease := min(t.BeatInterval.Std(), maxBeat), min(t.SelfLease.Std(), maxSelfLease)
	p.duration(at+".beatInterval", t.BeatInterval, 10*time.Millisecond, maxBeat)
	// A heartbeat renews credits older than a third of the TTL.
	p.duration(at+".creditTTL", t.CreditTTL, 3*beat, time.Minute)
	// One lost heartbeat must not end the self-lease.
	p.duration(at+".selfLease", t.SelfLease, 2*beat, maxSelfLease)
	// An entry instance has stopped before the others count it as dead.
	p.duration(at+".deadAfter", t.DeadAfter, lease, 5*time.Minute)
	p.duration(at+".window", t.Window, time.Second, 10*time.Minute)
	p.duration(at+".shutdownTimeout", t.ShutdownTimeout, 100*time.Millisecond, 10*time.Minute)
}

func (p *Problems) name(field, v string) {
	if !ident.ValidName(v, ident.MaxInstanceLen) {
		p.add(field, v, "1 to %d characters of A-Z, a-z, 0-9, _ and -", ident.MaxInstanceLen)
	}
}

func (p *Problems) number(field string, v, low, high int64) {
	if v < low || v > high {
		p.add(field, v, "%d to %d", low, high)
	}
}

func (p *Problems) duration(field string, v Duration, low, high time.Duration) {
	if v.Std() < low || v.Std() > high {
		p.add(field, v, "%s to %s", low, high)
	}
}

// address parses "ip:port" and reports a fault; ok is false then.
func (p *Problems) address(field, v string, lowPort uint16) (a netip.AddrPort, ok bool) {
	a, err := netip.ParseAddrPort(v)
	if err != nil || a.Port() < lowPort {
		p.add(field, v, "ip:port with a port of %d to 65535", lowPort)
		return a, false
	}
	return a, true
}

func (p *Problems) listen(field, v string, lowPort uint16) { p.address(field, v, lowPort) }

// target checks an address that others connect to.
func (p *Problems) target(field, v string) {
	if a, ok := p.address(field, v, 1); ok && a.Addr().IsUnspecified() {
		p.add(field, v, "an address of one host, not the unspecified one")
	}
}

func (p *Problems) targets(field string, list []string) {
	seen := map[string]bool{}
	for i, v := range list {
		at := fmt.Sprintf("%s[%d]", field, i)
		p.target(at, v)
		if seen[v] {
			p.add(at, v, "each address once")
		}
		seen[v] = true
	}
}

func (p *Problems) loopback(field, v string) {
	if a, ok := p.address(field, v, 1); ok && !a.Addr().IsLoopback() {
		p.add(field, v, "a loopback address")
	}
}

// internal checks the internal address and the one that is advertised for it.
func (p *Problems) internal(at, internal, advertise string) {
	if advertise != "" {
		p.listen(at+".internalAddress", internal, 1)
		p.target(at+".advertiseAddress", advertise)
		return
	}
	p.target(at+".internalAddress", internal)
}

// distinct reports listening addresses that occur more than once.
func (p *Problems) distinct(byField map[string]string) {
	fields := make([]string, 0, len(byField))
	for f := range byField {
		fields = append(fields, f)
	}
	sort.Strings(fields)
	first := map[string]string{}
	for _, f := range fields {
		v := byField[f]
		if a, err := netip.ParseAddrPort(v); err != nil || a.Port() == 0 {
			continue
		}
		if other, dup := first[v]; dup {
			p.add(f, v, "an address other than that of %s", other)
			continue
		}
		first[v] = f
	}
}
