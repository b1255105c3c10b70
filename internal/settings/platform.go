package settings

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"os"
	"time"

	"github.com/juju/errors"
)

// PlatformFile is the settings file of a cardamomturn-platform process, which
// runs tasks under leases. The file has one section, for the role of the process:
// broker for an entry instance, runner for a sidecar.
type PlatformFile struct {
	Broker *Broker `json:"broker,omitempty"`
	Runner *Runner `json:"runner,omitempty"`
}

// PlatformProcess holds the settings that both platform roles share.
type PlatformProcess struct {
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	// Host is the IP address of the machine. InternalPort is the port for
	// connections between cardamomturn processes, the same on all machines.
	Host         string `json:"host"`
	InternalPort int    `json:"internalPort"`
	// Advertise is the "ip:port" at which other processes reach the internal
	// port; empty selects Host and InternalPort.
	Advertise string `json:"advertise"`
	// MetricsPort is the port that serves /metrics; zero disables it.
	MetricsPort int `json:"metricsPort"`
	// Seeds are the "ip:port" of machines that may run entry instances. The port
	// is ignored; InternalPort is used instead.
	Seeds []string `json:"seeds"`
	// Store is the "ip:port" of the platform's key-value store.
	Store string `json:"store"`
	// MemoryMB is the memory that the process may use. Zero sets no limit, but selects a default
	// for what clients may hold.
	MemoryMB int `json:"memoryMB"`
	// Descriptors is the number of descriptors that the process may use; zero selects a
	// default.
	Descriptors int `json:"descriptors"`
	// Grace is the maximum duration of a graceful shutdown.
	Grace Duration `json:"grace"`
	// EvacuateWithin is the maximum time until the evacuation of an availability zone is in force.
	// Zero means that there are no evacuations.
	EvacuateWithin Duration `json:"evacuateWithin"`
}

// Broker holds the settings of an entry instance that runs tasks under leases.
type Broker struct {
	PlatformProcess
	// CallerAddress accepts jobs. ReadyAddress answers the readiness checks of
	// the load balancer.
	CallerAddress string `json:"callerAddress"`
	ReadyAddress  string `json:"readyAddress"`
	// ApplyWithin is the maximum time until a new configuration is in force.
	ApplyWithin Duration `json:"applyWithin"`
	// AdaptToDelay makes the placement of tasks follow the measured delay of the load
	// summaries.
	AdaptToDelay bool `json:"adaptToDelay"`
	// RemoteFactor is the factor by which a task takes longer on another rack than the one of
	// its data, or on several racks if its step runs faster on one. Without it, no task prefers
	// a rack.
	RemoteFactor *float64 `json:"remoteFactor,omitempty"`
}

// Runner holds the settings of a sidecar that runs tasks under leases.
type Runner struct {
	PlatformProcess
	// ReportAddress receives the worker's reports. WorkerAddress is the address
	// at which the worker receives start, stop and status calls, if the address
	// is known before the first report.
	ReportAddress string `json:"reportAddress"`
	WorkerAddress string `json:"workerAddress"`
	// MaxLease is the longest lease that the worker grants.
	MaxLease Duration `json:"maxLease"`
	// ReportInterval is the interval between the worker's reports.
	ReportInterval Duration `json:"reportInterval"`
}

// LoadPlatform reads and checks the settings file at path. The error lists every
// problem of the values.
func LoadPlatform(path string) (*PlatformFile, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotate(err, "settings file")
	}
	return parsePlatform(path, data)
}

// parsePlatform decodes and checks the content of the settings file at path.
func parsePlatform(path string, data []byte) (*PlatformFile, error) {
	var sections map[string]json.RawMessage
	if err := json.Unmarshal(data, &sections); err != nil {
		return nil, errors.NewNotValid(err, "settings file "+path)
	}
	f, p := &PlatformFile{}, &ValidationError{}
	for name, raw := range sections {
		switch name {
		case "broker":
			f.Broker = decodeSection(name, raw, &Broker{ApplyWithin: Duration(2 * time.Second)}, p)
		case "runner":
			f.Runner = decodeSection(name, raw, &Runner{MaxLease: Duration(time.Second), ReportInterval: Duration(2 * time.Second)}, p)
		default:
			p.addProblem(name, "unknown field", "one of broker, runner")
		}
	}
	checkDuplicateFields("", json.NewDecoder(bytes.NewReader(data)), p)
	f.check(p)
	if len(p.Problems) > 0 {
		return nil, p
	}
	return f, nil
}

func (f *PlatformFile) check(p *ValidationError) {
	switch {
	case f.Broker != nil && f.Runner != nil:
		p.addProblem("file", "two sections", "one of broker, runner")
	case f.Broker != nil:
		f.Broker.PlatformProcess.check("broker", p)
		checkAddress("broker.callerAddress", f.Broker.CallerAddress, p)
		checkAddress("broker.readyAddress", f.Broker.ReadyAddress, p)
		checkTime("broker.applyWithin", f.Broker.ApplyWithin, minApplyWithin, maxPlatformTime, p)
		f.Broker.checkRemoteFactor(p)
	case f.Runner != nil:
		f.Runner.PlatformProcess.check("runner", p)
		checkAddress("runner.reportAddress", f.Runner.ReportAddress, p)
		if f.Runner.WorkerAddress != "" {
			checkAddress("runner.workerAddress", f.Runner.WorkerAddress, p)
		}
		checkTime("runner.maxLease", f.Runner.MaxLease, minMaxLease, maxPlatformTime, p)
		checkTime("runner.reportInterval", f.Runner.ReportInterval, minReportInterval, maxPlatformTime, p)
	default:
		p.addProblem("file", "no section", "one of broker, runner")
	}
}

func (s *PlatformProcess) check(section string, p *ValidationError) {
	if s.Instance == "" {
		p.addProblem(section+".instance", s.Instance, "a name")
	}
	if _, err := netip.ParseAddr(s.Host); err != nil {
		p.addProblem(section+".host", s.Host, "an IP address")
	}
	for name, port := range map[string]int{".internalPort": s.InternalPort, ".metricsPort": s.MetricsPort} {
		if port < 0 || port > 65535 {
			p.addProblem(section+name, port, "a port")
		}
	}
	checkIngress(section, s.MemoryMB, s.Descriptors, p)
	if s.Advertise != "" {
		checkAddress(section+".advertise", s.Advertise, p)
	}
	for _, seed := range s.Seeds {
		checkAddress(section+".seeds", seed, p)
	}
	checkAddress(section+".store", s.Store, p)
	if s.Grace <= 0 {
		p.addProblem(section+".grace", s.Grace, "a time above zero")
	}
	if s.EvacuateWithin != 0 {
		checkTime(section+".evacuateWithin", s.EvacuateWithin, minEvacuateWithin, maxPlatformTime, p)
	}
}

// Bounds of Broker.RemoteFactor.
const minRemoteFactor, maxRemoteFactor = 1, 100

func (b *Broker) checkRemoteFactor(p *ValidationError) {
	if f := b.RemoteFactor; f != nil && !(*f >= minRemoteFactor && *f <= maxRemoteFactor) {
		p.addProblem("broker.remoteFactor", *f, "a number of %d to %d", minRemoteFactor, maxRemoteFactor)
	}
}

// Bounds of the times in the platform's settings.
const (
	minApplyWithin    = 100 * time.Millisecond
	minEvacuateWithin = 100 * time.Millisecond
	minMaxLease       = 200 * time.Millisecond
	minReportInterval = time.Millisecond
	maxPlatformTime   = time.Hour
)

func checkTime(field string, value Duration, least, most time.Duration, p *ValidationError) {
	if value.Std() < least || value.Std() > most {
		p.addProblem(field, value, "%v to %v", least, most)
	}
}

func checkAddress(field, value string, p *ValidationError) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		p.addProblem(field, value, `an "ip:port"`)
	}
}
