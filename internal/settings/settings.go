// Package settings reads the static JSON settings of a process from a file that
// has an optional section per role. Dynamic configuration is stored in resources
// (package resource).
package settings

import (
	"encoding/json"
	"os"
	"time"

	"github.com/juju/errors"
)

// MaxFileBytes is the size limit of a settings file.
const MaxFileBytes = 1 << 20

// Duration is a time.Duration that is encoded in JSON as a string such as
// "500ms".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String returns the text form, for example "1.5s".
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON writes the text form.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.String()) }

// UnmarshalJSON reads the text form and rejects numbers.
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

// File is a settings file. A section that is missing from the file is nil.
type File struct {
	Entry      *Entry      `json:"entry,omitempty"`
	Sidecar    *Sidecar    `json:"sidecar,omitempty"`
	Standalone *Standalone `json:"standalone,omitempty"`
}

// Timing holds the intervals that the processes of one deployment share. All
// processes must have the same values: the fencing of an entry instance is safe
// only if the other processes wait for at least the instance's self-lease.
type Timing struct {
	// CreditTTL is the duration for which a credit is valid, by the clock of the
	// sidecar.
	CreditTTL Duration `json:"creditTTL"`
	// BeatInterval is the interval between the heartbeats that one process sends
	// to another. New credits and state changes are sent earlier.
	BeatInterval Duration `json:"beatInterval"`
	// SelfLease is how long an acknowledgement of a sidecar is valid. An entry
	// instance dispatches nothing while fewer than half of its attached sidecars
	// have a valid acknowledgement.
	SelfLease Duration `json:"selfLease"`
	// DeadAfter is the time without contact after which an entry instance stops
	// using a process (entry.Config.SilentAfter) and a sidecar detaches an entry
	// instance. From then on, an entry instance may be declared dead.
	DeadAfter Duration `json:"deadAfter"`
	// Window is the length of a submission window.
	Window Duration `json:"window"`
	// ShutdownTimeout is the maximum duration of a graceful shutdown.
	ShutdownTimeout Duration `json:"shutdownTimeout"`
}

// Store holds the settings of the connection to the platform's key-value store.
type Store struct {
	// Address is the "ip:port" of the store's HTTP API.
	Address string `json:"address"`
	// Timeout bounds the duration of one call, apart from the waiting time of a
	// watch.
	Timeout Duration `json:"timeout"`
}

// Entry holds the settings of an entry instance.
type Entry struct {
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	Region   string `json:"region"`
	// CallerAddress serves the Job API.
	CallerAddress string `json:"callerAddress"`
	// OperatorAddress serves the Resource API, drain requests and metrics.
	OperatorAddress string `json:"operatorAddress"`
	// InternalAddress serves net/rpc.
	InternalAddress string `json:"internalAddress"`
	// AdvertiseAddress is the address at which other processes connect to
	// InternalAddress; empty selects InternalAddress.
	AdvertiseAddress string `json:"advertiseAddress,omitempty"`
	// Peers are the internal addresses of other entry instances.
	Peers []string `json:"peers,omitempty"`
	Store Store    `json:"store"`
	Timing
	// AcceptWindows is the highest age, in windows, of a submission ID that a
	// new job may have.
	AcceptWindows int `json:"acceptWindows"`
	// RetainWindows is the age of a submission, in windows, up to which its
	// answer is kept.
	RetainWindows int `json:"retainWindows"`
	// RequestBytes bounds the body of one request, in bytes.
	RequestBytes int `json:"requestBytes"`
	// AnswerBytes bounds the memory for finished answers, in bytes.
	AnswerBytes int64 `json:"answerBytes"`
	// MemoryMB is the memory that the process may use, in MiB, and Descriptors the number of its
	// descriptors. They bound what clients may hold; zero selects a default.
	MemoryMB    int `json:"memoryMB,omitempty"`
	Descriptors int `json:"descriptors,omitempty"`
}

// Sidecar holds the settings of a sidecar, the process that runs next to a
// backend server.
type Sidecar struct {
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	Region   string `json:"region"`
	Rack     string `json:"rack"`
	// LocalAddress is the loopback address of the sidecar at which the backend
	// server announces itself.
	LocalAddress string `json:"localAddress"`
	// InternalAddress serves net/rpc.
	InternalAddress string `json:"internalAddress"`
	// AdvertiseAddress is the address at which other processes connect to
	// InternalAddress; empty selects InternalAddress.
	AdvertiseAddress string `json:"advertiseAddress,omitempty"`
	// OperatorAddress serves drain requests and metrics.
	OperatorAddress string `json:"operatorAddress"`
	// EntryAddresses are internal addresses of entry instances or of a load
	// balancer in front of them.
	EntryAddresses []string `json:"entryAddresses"`
	Timing
	// LedgerWindows is the number of windows for which the ledger keeps the
	// record of a task start after the end of the task.
	LedgerWindows int `json:"ledgerWindows"`
	// LedgerBytes bounds the total size of the result bodies in the ledger, in
	// bytes.
	LedgerBytes int64 `json:"ledgerBytes"`
	// ResultBytes is checked but not used: sidecar.MaxResultBodyBytes bounds the
	// body of one result.
	ResultBytes int `json:"resultBytes"`
	// MemoryMB is the memory that the process may use, in MiB, and Descriptors the number of its
	// descriptors. They bound what clients may hold; zero selects a default.
	MemoryMB    int `json:"memoryMB,omitempty"`
	Descriptors int `json:"descriptors,omitempty"`
}

// Standalone holds the settings of a process that runs all roles. A port of zero
// selects a free port.
type Standalone struct {
	CallerAddress   string `json:"callerAddress"`
	OperatorAddress string `json:"operatorAddress"`
	// Backends is the number of sample backend servers, each with a sidecar.
	Backends int `json:"backends"`
	// Slots is the number of slots of each backend server.
	Slots int `json:"slots"`
	// MemoryMB is the memory that the process may use, in MiB, and Descriptors the number of its
	// descriptors. They bound what clients may hold; zero selects a default.
	MemoryMB    int `json:"memoryMB,omitempty"`
	Descriptors int `json:"descriptors,omitempty"`
	Timing
}

// Load reads and checks the settings file at path. If the content is invalid, the
// error lists every problem and satisfies errors.IsNotValid.
func Load(path string) (*File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotate(err, "reading settings")
	}
	f, err := Parse(data)
	return f, errors.Annotatef(err, "settings file %s", path)
}

// Parse decodes data over the defaults and checks all values. The error is a
// *ValidationError that lists every problem.
func Parse(data []byte) (*File, error) {
	var p ValidationError
	if len(data) > MaxFileBytes {
		p.addProblem("file", len(data), "at most %d bytes", MaxFileBytes)
		return nil, &p
	}
	var f File
	decodeFile(data, &f, &p)
	f.check(&p)
	if len(p.Problems) > 0 {
		return nil, &p
	}
	return &f, nil
}

// Check checks all values. The error is nil or a *ValidationError that lists
// every problem.
func (f *File) Check() error {
	var p ValidationError
	f.check(&p)
	if len(p.Problems) > 0 {
		return &p
	}
	return nil
}
