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

// Problem describes one invalid field of the settings.
type Problem struct {
	// Field is the path of the field, for example "entry.store.address".
	Field string `json:"field"`
	// Value is the text of the invalid value.
	Value string `json:"value"`
	// Want describes the allowed values.
	Want string `json:"want"`
}

// String formats the problem on one line.
func (p Problem) String() string { return fmt.Sprintf("%s: %s: want %s", p.Field, p.Value, p.Want) }

// ValidationError lists every problem of a settings file.
type ValidationError struct{ Problems []Problem }

// Error sorts the problems by field and formats one problem per line.
func (p *ValidationError) Error() string {
	sort.SliceStable(p.Problems, func(i, j int) bool { return p.Problems[i].Field < p.Problems[j].Field })
	lines := make([]string, 0, len(p.Problems)+1)
	lines = append(lines, fmt.Sprintf("%d faults in the settings", len(p.Problems)))
	for _, problem := range p.Problems {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n  ")
}

// Is makes the error satisfy errors.Is(err, errors.NotValid).
func (p *ValidationError) Is(target error) bool { return target == errors.NotValid }

func (p *ValidationError) addProblem(field string, value any, want string, args ...any) {
	text := fmt.Sprint(value)
	if s, ok := value.(string); ok && s == "" {
		text = `""`
	}
	p.Problems = append(p.Problems, Problem{Field: field, Value: truncate(text), Want: fmt.Sprintf(want, args...)})
}

func (f *File) check(p *ValidationError) {
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

func (e *Entry) check(p *ValidationError) {
	p.checkName("entry.instance", e.Instance)
	p.checkName("entry.zone", e.Zone)
	p.checkName("entry.region", e.Region)
	p.checkListenAddress("entry.callerAddress", e.CallerAddress, 1)
	p.checkListenAddress("entry.operatorAddress", e.OperatorAddress, 1)
	p.checkInternalAddress("entry", e.InternalAddress, e.AdvertiseAddress)
	p.checkDistinctAddresses(map[string]string{
		"entry.callerAddress": e.CallerAddress, "entry.operatorAddress": e.OperatorAddress,
		"entry.internalAddress": e.InternalAddress,
	})
	p.checkPeerAddresses("entry.peers", e.Peers)
	p.checkPeerAddress("entry.store.address", e.Store.Address)
	p.checkDuration("entry.store.timeout", e.Store.Timeout, 10*time.Millisecond, time.Minute)
	e.Timing.check("entry", p)
	p.checkInt("entry.acceptWindows", int64(e.AcceptWindows), 1, maxAcceptWindows)
	p.checkInt("entry.retainWindows", int64(e.RetainWindows), int64(min(e.AcceptWindows, maxAcceptWindows))+1, 240)
	p.checkInt("entry.requestBytes", int64(e.RequestBytes), 1<<10, 4<<20)
	checkIngress("entry", e.MemoryMB, e.Descriptors, p)
	p.checkInt("entry.answerBytes", e.AnswerBytes, 1<<20, 1<<30)
	checkKept("entry.answerBytes", e.AnswerBytes, e.MemoryMB, p)
}

func (s *Sidecar) check(p *ValidationError) {
	p.checkName("sidecar.instance", s.Instance)
	p.checkName("sidecar.zone", s.Zone)
	p.checkName("sidecar.region", s.Region)
	p.checkName("sidecar.rack", s.Rack)
	p.checkLoopbackAddress("sidecar.localAddress", s.LocalAddress)
	p.checkListenAddress("sidecar.operatorAddress", s.OperatorAddress, 1)
	p.checkInternalAddress("sidecar", s.InternalAddress, s.AdvertiseAddress)
	p.checkDistinctAddresses(map[string]string{
		"sidecar.localAddress": s.LocalAddress, "sidecar.operatorAddress": s.OperatorAddress,
		"sidecar.internalAddress": s.InternalAddress,
	})
	if len(s.EntryAddresses) == 0 {
		p.addProblem("sidecar.entryAddresses", "[]", "at least one ip:port")
	}
	p.checkPeerAddresses("sidecar.entryAddresses", s.EntryAddresses)
	s.Timing.check("sidecar", p)
	// The ledger must keep the record of a start for longer than the owner keeps
	// the submission, which is at least two windows.
	p.checkInt("sidecar.ledgerWindows", int64(s.LedgerWindows), 3, 241)
	p.checkInt("sidecar.ledgerBytes", s.LedgerBytes, 1<<20, 1<<30)
	checkKept("sidecar.ledgerBytes", s.LedgerBytes, s.MemoryMB, p)
	checkIngress("sidecar", s.MemoryMB, s.Descriptors, p)
	p.checkInt("sidecar.resultBytes", int64(s.ResultBytes), 1<<10, 2<<20)
}

func (s *Standalone) check(p *ValidationError) {
	p.checkListenAddress("standalone.callerAddress", s.CallerAddress, 0)
	p.checkListenAddress("standalone.operatorAddress", s.OperatorAddress, 0)
	p.checkDistinctAddresses(map[string]string{
		"standalone.callerAddress": s.CallerAddress, "standalone.operatorAddress": s.OperatorAddress,
	})
	p.checkInt("standalone.backends", int64(s.Backends), 1, 64)
	p.checkInt("standalone.slots", int64(s.Slots), 1, 1024)
	checkIngress("standalone", s.MemoryMB, s.Descriptors, p)
	s.Timing.check("standalone", p)
}

// Upper bounds of fields whose values are the lower bounds of other fields. The
// checks of the other fields cap these values at the bounds, so that an invalid
// value doesn't make another range empty.
const (
	maxAcceptWindows = 60 // windows
	maxBeatInterval  = 10 * time.Second
	maxSelfLease     = time.Minute
)

func (t *Timing) check(section string, p *ValidationError) {
	beat, lease := min(t.BeatInterval.Std(), maxBeatInterval), min(t.SelfLease.Std(), maxSelfLease)
	p.checkDuration(section+".beatInterval", t.BeatInterval, 10*time.Millisecond, maxBeatInterval)
	// A heartbeat renews the credits that are older than a third of the TTL.
	p.checkDuration(section+".creditTTL", t.CreditTTL, 3*beat, time.Minute)
	// The loss of one heartbeat must not end the self-lease.
	p.checkDuration(section+".selfLease", t.SelfLease, 2*beat, maxSelfLease)
	// An entry instance must have stopped dispatching before the other processes
	// declare it dead.
	p.checkDuration(section+".deadAfter", t.DeadAfter, lease, 5*time.Minute)
	p.checkDuration(section+".window", t.Window, time.Second, 10*time.Minute)
	p.checkDuration(section+".shutdownTimeout", t.ShutdownTimeout, 100*time.Millisecond, 10*time.Minute)
}

func (p *ValidationError) checkName(field, v string) {
	if !ident.ValidName(v, ident.MaxInstanceLen) {
		p.addProblem(field, v, "1 to %d characters of A-Z, a-z, 0-9, _ and -", ident.MaxInstanceLen)
	}
}

func (p *ValidationError) checkInt(field string, v, low, high int64) {
	if v < low || v > high {
		p.addProblem(field, v, "%d to %d", low, high)
	}
}

func (p *ValidationError) checkDuration(field string, v Duration, low, high time.Duration) {
	if v.Std() < low || v.Std() > high {
		p.addProblem(field, v, "%s to %s", low, high)
	}
}

// parseAddress parses "ip:port". It reports an invalid address as a problem and
// then returns false.
func (p *ValidationError) parseAddress(field, v string, lowPort uint16) (a netip.AddrPort, ok bool) {
	a, err := netip.ParseAddrPort(v)
	if err != nil || a.Port() < lowPort {
		p.addProblem(field, v, "ip:port with a port of %d to 65535", lowPort)
		return a, false
	}
	return a, true
}

func (p *ValidationError) checkListenAddress(field, v string, lowPort uint16) {
	p.parseAddress(field, v, lowPort)
}

// checkPeerAddress checks an address that processes connect to.
func (p *ValidationError) checkPeerAddress(field, v string) {
	if a, ok := p.parseAddress(field, v, 1); ok && a.Addr().IsUnspecified() {
		p.addProblem(field, v, "an address of one host, not the unspecified one")
	}
}

func (p *ValidationError) checkPeerAddresses(field string, list []string) {
	seen := map[string]bool{}
	for i, v := range list {
		element := fmt.Sprintf("%s[%d]", field, i)
		p.checkPeerAddress(element, v)
		if seen[v] {
			p.addProblem(element, v, "each address once")
		}
		seen[v] = true
	}
}

func (p *ValidationError) checkLoopbackAddress(field, v string) {
	if a, ok := p.parseAddress(field, v, 1); ok && !a.Addr().IsLoopback() {
		p.addProblem(field, v, "a loopback address")
	}
}

// checkInternalAddress checks the internal address and the address that is
// advertised in its place, if any.
func (p *ValidationError) checkInternalAddress(section, address, advertise string) {
	if advertise != "" {
		p.checkListenAddress(section+".internalAddress", address, 1)
		p.checkPeerAddress(section+".advertiseAddress", advertise)
		return
	}
	p.checkPeerAddress(section+".internalAddress", address)
}

// checkDistinctAddresses reports the listening addresses that occur more than
// once.
func (p *ValidationError) checkDistinctAddresses(byField map[string]string) {
	fields := make([]string, 0, len(byField))
	for field := range byField {
		fields = append(fields, field)
	}
	sort.Strings(fields)
	firstField := map[string]string{}
	for _, field := range fields {
		v := byField[field]
		if a, err := netip.ParseAddrPort(v); err != nil || a.Port() == 0 {
			continue
		}
		if other, dup := firstField[v]; dup {
			p.addProblem(field, v, "an address other than that of %s", other)
			continue
		}
		firstField[v] = field
	}
}
