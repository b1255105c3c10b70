package slopes

import (
	"context"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/controller"
	"github.com/cardamomturn/cardamomturn/internal/entry"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/internal/settings"
	"github.com/cardamomturn/cardamomturn/internal/sidecar"
	"github.com/cardamomturn/cardamomturn/internal/store/memstore"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/test/experiment/cluster"
	"github.com/cardamomturn/cardamomturn/test/experiment/history"
	"github.com/cardamomturn/cardamomturn/test/loopback"
)

const (
	region             = "region-1"
	zoneCount          = 3
	backendSlots       = 8
	backendConnections = 60
	readyTimeout       = 40 * time.Second
	readyPoll          = 20 * time.Millisecond
	// logTailBytes is the size of the end of a log that an error message includes.
	logTailBytes = 1000
)

// fleet is a set of entry instances and sidecars in separate processes, with an
// in-memory store and fake backend servers in this process.
type fleet struct {
	binary, dir string
	store       *memstore.Store
	server      *memstore.Server
	storeAddr   string
	entries     []*entryProcess
	sidecars    []*sidecarProcess
	recorder    *history.Recorder
	// answerBytes is the setting AnswerBytes of the entry instances; zero selects
	// the default.
	answerBytes int64
	children    *childProcesses
}

type entryProcess struct {
	*process
	cfg *settings.Entry
}

type sidecarProcess struct {
	*process
	cfg     *settings.Sidecar
	backend *cluster.BackendServer
}

func newFleet(exp *experiment, doc *resource.Document) (*fleet, error) {
	f := &fleet{binary: exp.binary, dir: exp.dir, children: &exp.processes, store: memstore.New(clock.Real{}, 0), recorder: history.NewRecorder()}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Annotate(err, "listen for the store")
	}
	f.server, f.storeAddr = memstore.NewServer(f.store), lis.Addr().String()
	go f.server.Serve(lis)
	return f, f.writeDocument(doc)
}

// writeDocument writes a configuration document to the store.
func (f *fleet) writeDocument(doc *resource.Document) error {
	data, err := resource.Encode(doc)
	if err != nil {
		return errors.Annotate(err, "encode the document")
	}
	var version uint64
	if e, err := f.store.Get(context.Background(), controller.ConfigKey); err == nil {
		version = e.Version
	}
	_, err = f.store.CompareAndSwap(context.Background(), controller.ConfigKey, data, version, 0)
	return errors.Annotate(err, "write the document")
}

// close stops the backend servers and the store and kills all processes.
func (f *fleet) close() {
	for _, s := range f.sidecars {
		if s.backend != nil {
			s.backend.Kill()
		}
		s.kill()
	}
	for _, e := range f.entries {
		e.kill()
	}
	_ = f.server.Close()
}

func zone(i int) string { return fmt.Sprintf("zone-%d", i%zoneCount) }

func (f *fleet) addEntry() (*entryProcess, error) {
	addrs, err := loopback.Addresses(3)
	if err != nil {
		return nil, err
	}
	i := len(f.entries)
	cfg := settings.DefaultEntry()
	cfg.Instance, cfg.Zone, cfg.Region = fmt.Sprintf("entry-%d", i), zone(i), region
	cfg.CallerAddress, cfg.OperatorAddress, cfg.InternalAddress = addrs[0], addrs[1], addrs[2]
	cfg.Store.Address = f.storeAddr
	if f.answerBytes > 0 {
		cfg.AnswerBytes = f.answerBytes
	}
	for _, e := range f.entries {
		cfg.Peers = append(cfg.Peers, e.cfg.InternalAddress)
	}
	p, err := f.startProcess("entry", cfg.Instance, cfg.OperatorAddress, &settings.File{Entry: cfg})
	if err != nil {
		return nil, err
	}
	e := &entryProcess{p, cfg}
	f.entries = append(f.entries, e)
	return e, nil
}

func (f *fleet) addSidecar(withBackend bool) (*sidecarProcess, error) {
	addrs, err := loopback.Addresses(3)
	if err != nil {
		return nil, err
	}
	i := len(f.sidecars)
	cfg := settings.DefaultSidecar()
	cfg.Instance, cfg.Zone, cfg.Region = fmt.Sprintf("sidecar-%d", i), zone(i), region
	cfg.Rack = fmt.Sprintf("rack-%d", i/3)
	cfg.LocalAddress, cfg.OperatorAddress, cfg.InternalAddress = addrs[0], addrs[1], addrs[2]
	for _, e := range f.entries {
		cfg.EntryAddresses = append(cfg.EntryAddresses, e.cfg.InternalAddress)
	}
	p, err := f.startProcess("sidecar", cfg.Instance, cfg.OperatorAddress, &settings.File{Sidecar: cfg})
	if err != nil {
		return nil, err
	}
	s := &sidecarProcess{process: p, cfg: cfg}
	f.sidecars = append(f.sidecars, s)
	if withBackend {
		s.backend = cluster.NewBackendServer(wire.Backend{
			Name: fmt.Sprintf("backend-%d", i), Service: service, Zone: cfg.Zone, Rack: cfg.Rack, Slots: backendSlots,
			MaxConnections: backendConnections, Size: jobapi.Size{CPUs: 30, MemoryMB: 64 << 10},
		}, cfg.LocalAddress, cfg.Instance, f.recorder)
		err = s.backend.Start()
	}
	return s, err
}

// growTo adds processes up to the given numbers and waits until all are connected.
func (f *fleet) growTo(entries, sidecars int) error {
	for len(f.entries) < entries {
		if _, err := f.addEntry(); err != nil {
			return err
		}
	}
	for len(f.sidecars) < sidecars {
		if _, err := f.addSidecar(true); err != nil {
			return err
		}
	}
	return f.await("growth of the fleet", f.allConnected)
}

// allConnected reports whether every entry instance is connected to all others and
// every sidecar is attached to sidecar.DefaultAttachments entry instances, or to all
// if there are fewer.
func (f *fleet) allConnected() bool {
	attached := 0
	for _, e := range f.entries {
		var s entry.Stats
		if e.get("/v1/stats", &s) != nil || s.Peers != len(f.entries)-1 {
			return false
		}
		attached += s.Sidecars
	}
	return attached == len(f.sidecars)*min(sidecar.DefaultAttachments, len(f.entries))
}

func (f *fleet) await(what string, done func() bool) error {
	deadline := time.Now().Add(readyTimeout)
	for !done() {
		if time.Now().After(deadline) {
			return errors.Timeoutf("%s (%d entry instances, %d sidecars): %s", what, len(f.entries), len(f.sidecars), f.diagnose())
		}
		time.Sleep(readyPoll)
	}
	return nil
}

// diagnose returns the state of each entry instance and the end of the log of the
// first one, which it kills.
func (f *fleet) diagnose() string {
	if len(f.entries) == 0 {
		return ""
	}
	var states []string
	for _, e := range f.entries {
		var s entry.Stats
		err := e.get("/v1/stats", &s)
		states = append(states, fmt.Sprintf("%s: %d peers, %d sidecars, %d credits, %v", e.cfg.Instance, s.Peers, s.Sidecars, s.Credits, err))
	}
	e := f.entries[0]
	e.kill() // stderr must not be read before the process has ended
	text := e.stderr.Bytes()
	return strings.Join(states, "; ") + "\n" + string(text[max(0, len(text)-logTailBytes):])
}
