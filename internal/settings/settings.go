// Package settings reads the static JSON settings of a process: one file with
// an optional section per role. Dynamic configuration is kept in resources.
package settings

import (
	"encoding/json"
	"os"
	"time"

	"github.com/juju/errors"
)

// MaxFile is the largest settings file in bytes.
const MaxFile = 1 << 20

// Duration is a time.Duration that JSON shows as a string such as "500ms".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String returns the text form, for example "1.5s".
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON writes the text form.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.String()) }

// UnmarshalJSON reads the text form; numbers are errors.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.NotValidf("duration %.100s: want a string such as \"500ms\"", data)
	}
	v, err := time.ParseDuration(text)
	if err != nil {
		return errors.NotValidf("duration %.100q: want a number with a unit, such as \"500ms\"", text)
	}
	*d = Duration(v)
	return nil
}

// File is a whole settings file. A section that the file lacks is nil.
type File struct {
	Entry      *Entry      `json:"entry,omitempty"`
	Sidecar    *Sidecar    `json:"sidecar,omitempty"`
	Standalone *Standalone `json:"standalone,omitempty"`
}

// Timing holds the intervals that the processes of one deployment share. The
// values have to be the same in all processes: the fencing of an entry
// instance compares its self-lease with the others' wait.
type Timing struct {
	// CreditTTL is how long a credit is valid on the sidecar's clock.
	CreditTTL Duration `json:"creditTTL"`
	// BeatInterval is the time between heartbeats of an idle pair.
	BeatInterval Duration `json:"beatInterval"`
	// SelfLease is how long an entry instance dispatches without hearing from
	// more than half of its sidecars.
	SelfLease Duration `json:"selfLease"`
	// DeadAfter is the silence after which a process is declared dead.
	DeadAfter Duration `json:"deadAfter"`
	// Window is the length of a submission window.
	Window Duration `json:"window"`
	// ShutdownTimeout bounds a graceful shutdown.
	ShutdownTimeout Duration `json:"shutdownTimeout"`
}

// Store says how to reach the platform's key-value store.
type Store struct {
	// Address is the "ip:port" of the store's HTTP API.
	Address string `json:"address"`
	// Timeout bounds one call, except the wait of a watch.
	Timeout Duration `json:"timeout"`
}

// Entry holds the settings of an entry instance.
type Entry struct {
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	Region   string `json:"region"`
	// CallerAddress serves the Job API.
	CallerAddress string `json:"callerAddress"`
	// OperatorAddress serves the Resource API, drain and metrics.
	OperatorAddress string `json:"operatorAddress"`
	// InternalAddress serves net/rpc.
	InternalAddress string `json:"internalAddress"`
	// AdvertiseAddress is the internal address as other processes reach it;
	// empty selects InternalAddress.
	AdvertiseAddress string `json:"advertiseAddress,omitempty"`
	// Peers are the internal addresses of other entry instances.
	Peers []string `json:"peers,omitempty"`
	Store Store    `json:"store"`
	Timing
	// AcceptWindows is the number of windows after its own in which a
	// submission ID is accepted for a new job.
	AcceptWindows int `json:"acceptWindows"`
	// RetainWindows is the age in windows until which answers are kept.
	RetainWindows int `json:"retainWindows"`
	// RequestBytes bounds the body of a request.
	RequestBytes int `json:"requestBytes"`
	// AnswerBytes bounds the memory for finished answers, in bytes.
	AnswerBytes int64 `json:"answerBytes"`
}

// Sidecar holds the settings of the process beside a backend server.
type Sidecar struct {
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	Region   string `json:"region"`
	Rack     string `json:"rack"`
	// LocalAddress is where the backend server announces itself; a loopback
	// address of the worker.
	LocalAddress string `json:"localAddress"`
	// InternalAddress serves net/rpc.
	InternalAddress string `json:"internalAddress"`
	// AdvertiseAddress is the internal address as other processes reach it;
	// empty selects InternalAddress.
	AdvertiseAddress string `json:"advertiseAddress,omitempty"`
	// OperatorAddress serves drain and metrics.
	OperatorAddress string `json:"operatorAddress"`
	// EntryAddresses are internal addresses of entry instances or of the
	// load balancer before them.
	EntryAddresses []string `json:"entryAddresses"`
	Timing
	// LedgerWindows is how many windows a start stays in the ledger after its
	// end.
	LedgerWindows int `json:"ledgerWindows"`
	// LedgerBytes bounds the result bodies in the ledger, in bytes.
	LedgerBytes int64 `json:"ledgerBytes"`
	// ResultBytes bounds the body of one result, in bytes.
	ResultBytes int `json:"resultBytes"`
}

// Standalone holds the settings of all roles in one process. Port zero
// selects a free port.
type Standalone struct {
	CallerAddress   string `json:"callerAddress"`
	OperatorAddress string `json:"operatorAddress"`
	// Backends is the number of sample backend servers, each with a sidecar.
	Backends int `json:"backends"`
	// Slots is the number of slots of each backend server.
	Slots int `json:"slots"`
	Timing
}

// Load reads and checks the settings file at path. The error lists every
// fault and satisfies errors.IsNotValid if the content is at fault.
func Load(path string) (*File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotate(err, "reading settings")
	}
	f, err := Parse(data)
	return f, errors.Annotatef(err, "settings file %s", path)
}

// Parse decodes data over the defaults and checks the whole. The error is a
// *Problems that lists every fault.
func Parse(data []byte) (*File, error) {
	var p Problems
	if len(data) > MaxFile {
		p.add("file", len(data), "at most %d bytes", MaxFile)
		return nil, &p
	}
	var f File
	decodeFile(data, &f, &p)
	f.check(&p)
	if len(p.List) > 0 {
		return nil, &p
	}
	return &f, nil
}

// Check reports every fault of the values as a *Problems, or nil.
func (f *File) Check() error {
	var p Problems
	f.check(&p)
	if len(p.List) > 0 {
		return &p
	}
	return nil
}
