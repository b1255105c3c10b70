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
	region       = "region-1"
	zones        = 3
	slots        = 8
	connections  = 60
	readyTimeout = 40 * time.Second
	readyPoll    = 20 * time.Millisecond
	// logTail is the part of a log that an error shows, in bytes.
	logTail = 1000
)

// fleet is a set of processes with the store's stand-in and fake backend
// servers in this process.
type fleet struct {
	binary, dir string
	store       *memstore.Store
	server      *memstore.Server
	storeAddr   string
	entries     []*entryProcess
	sidecars    []*sidecarProcess
	rec         *history.Recorder
	// answerBytes is a setting of the entry instances; zero selects the default.
	answerBytes int64
	children    *children
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

func newFleet(r *run, doc *resource.Document) (*fleet, error) {
	f := &fleet{binary: r.binary, dir: r.dir, children: &r.processes, store: memstore.New(clock.Real{}, 0), rec: history.NewRecorder()}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Annotate(err, "listen for the store")
	}
	f.server, f.storeAddr = memstore.NewServer(f.store), lis.Addr().String()
	go f.server.Serve(lis)
	return f, f.write(doc)
}

// write puts a document into the store.
func (f *fleet) write(doc *resource.Document) error {
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

// close ends all processes.
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

func zone(i int) string { return fmt.Sprintf("zone-%d", i%zones) }

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
			Name: fmt.Sprintf("backend-%d", i), Service: service, Zone: cfg.Zone, Rack: cfg.Rack, Slots: slots,
			MaxConnections: connections, Size: jobapi.Size{CPUs: 30, MemoryMB: 64 << 10},
		}, cfg.LocalAddress, cfg.Instance, f.rec)
		err = s.backend.Start()
	}
	return s, err
}

// grow adds processes up to the numbers and waits until all know each other.
func (f *fleet) grow(entries, sidecars int) error {
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
	return f.await("growth of the fleet", f.grown)
}

func (f *fleet) grown() bool {
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
	end := time.Now().Add(readyTimeout)
	for !done() {
		if time.Now().After(end) {
			return errors.Timeoutf("%s (%d entry instances, %d sidecars): %s", what, len(f.entries), len(f.sidecars), f.trouble())
		}
		time.Sleep(readyPoll)
	}
	return nil
}

// trouble returns the end of the first entry instance's log.
func (f *fleet) trouble() string {
	if len(f.entries) == 0 {
		return ""
	}
	var known []string
	for _, e := range f.entries {
		var s entry.Stats
		err := e.get("/v1/stats", &s)
		known = append(known, fmt.Sprintf("%s: %d peers, %d sidecars, %d credits, %v", e.cfg.Instance, s.Peers, s.Sidecars, s.Credits, err))
	}
	e := f.entries[0]
	e.kill() // the log may only be read when the process has ended
	text := e.stderr.Bytes()
	return strings.Join(known, "; ") + "\n" + string(text[max(0, len(text)-logTail):])
}
