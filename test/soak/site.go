package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/settings"
	"github.com/cardamomturn/cardamomturn/platform/standin"
)

// Ports, the same on all addresses.
const (
	internalPort = 7401
	callerPort   = 7402
	readyPort    = 7403
	reportPort   = 7404
	workerPort   = 7405
	storePort    = 7406
)

// The last numbers of the addresses.
const (
	storeHost   = 1
	entryHost   = 10
	sidecarHost = 40
	proxyOffset = 100 // of the proxy before a process's internal port
)

const (
	reportEvery = 200 * time.Millisecond
	milliCPU    = 4000
	host        = "soak.example"
	grace       = 3 * time.Second
)

// site is everything that a run starts.
type site struct {
	o         options
	dir       string
	net       string
	store     *standin.Store
	storePort *proxy
	workers   []*standin.Worker
	processes []*process // entry instances first, then sidecars
	proxies   []*proxy   // the internal ports, in the same order
	stop      context.CancelFunc
	wg        sync.WaitGroup

	mu       sync.Mutex
	version  int
	prefixes []string
}

func (s *site) at(host, port int) string { return fmt.Sprintf("%s.%d:%d", s.net, host, port) }

func newSite(ctx context.Context, o options) (s *site, err error) {
	ctx, stop := context.WithCancel(ctx)
	s = &site{o: o, stop: stop, net: fmt.Sprintf("127.%d.%d", 20+os.Getpid()>>7%200, os.Getpid()%128)}
	defer func() {
		if err != nil {
			s.close()
		}
	}()
	if s.dir, err = os.MkdirTemp("", "soak"); err != nil {
		return s, errors.Trace(err)
	}
	if s.o.Binary == "" {
		s.o.Binary = filepath.Join(s.dir, "cardamomturn-platform")
		if text, err := exec.CommandContext(ctx, "go", "build", "-o", s.o.Binary, "./cmd/cardamomturn-platform").CombinedOutput(); err != nil {
			return s, errors.Annotatef(err, "build: %s", text)
		}
	}
	if s.store, err = standin.NewStore(s.at(storeHost, storePort)); err != nil {
		return s, err
	}
	if s.storePort, err = newProxy(s.at(storeHost+proxyOffset, storePort), s.at(storeHost, storePort)); err != nil {
		return s, err
	}
	s.configure("/q0/", "/q1/", "/q2/")
	for i := range o.Entries {
		if err = s.startEntry(i); err != nil {
			return s, err
		}
	}
	for i := range o.Workers {
		if err = s.startWorker(ctx, i); err != nil {
			return s, err
		}
	}
	return s, nil
}

// configure writes a configuration with a queue for each prefix.
func (s *site) configure(prefixes ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version += 2
	s.prefixes = prefixes
	s.store.Configure(s.version, host, "svc", 3, prefixes)
}

func (s *site) process(name string, host int) settings.PlatformProcess {
	seeds := []string{}
	for i := range min(s.o.Entries, 3) {
		seeds = append(seeds, s.at(entryHost+i+proxyOffset, internalPort))
	}
	return settings.PlatformProcess{Instance: name, Zone: "z", Host: fmt.Sprintf("%s.%d", s.net, host), InternalPort: internalPort,
		Advertise: s.at(host+proxyOffset, internalPort), Seeds: seeds, Store: s.at(storeHost+proxyOffset, storePort),
		Grace: settings.Duration(grace)}
}

// launch starts a process with its settings and the proxy before its port.
func (s *site) launch(role, name string, hostNumber int, file any) error {
	text, err := json.Marshal(file)
	if err != nil {
		return errors.Trace(err)
	}
	path := filepath.Join(s.dir, name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return errors.Trace(err)
	}
	px, err := newProxy(s.at(hostNumber+proxyOffset, internalPort), s.at(hostNumber, internalPort))
	if err != nil {
		return err
	}
	p, err := startProcess(name, s.o.Logs, s.o.Binary, "--config", path, role)
	if err != nil {
		px.close()
		return err
	}
	s.processes, s.proxies = append(s.processes, p), append(s.proxies, px)
	return nil
}

func (s *site) startEntry(i int) error {
	name := fmt.Sprint("entry-", i)
	return s.launch("entry", name, entryHost+i, settings.PlatformFile{Broker: &settings.Broker{PlatformProcess: s.process(name, entryHost+i),
		CallerAddress: s.at(entryHost+i, callerPort), ReadyAddress: s.at(entryHost+i, readyPort), ApplyWithin: settings.Duration(2 * time.Second)}})
}

func (s *site) startWorker(ctx context.Context, i int) error {
	h := sidecarHost + i
	w := &standin.Worker{ID: fmt.Sprint("w-", i), Service: "svc", MilliCPU: milliCPU, MemoryMB: 1 << 14, Labels: []string{"a"}}
	if err := w.Start(s.at(h, workerPort)); err != nil {
		return err
	}
	s.workers = append(s.workers, w)
	s.wg.Go(func() {
		for ctx.Err() == nil {
			_ = w.Report(s.at(h, reportPort)) // a sidecar that is down gets the next one
			select {
			case <-ctx.Done():
			case <-time.After(reportEvery):
			}
		}
	})
	name := fmt.Sprint("side-", i)
	return s.launch("sidecar", name, h, settings.PlatformFile{Runner: &settings.Runner{PlatformProcess: s.process(name, h), ReportAddress: s.at(h, reportPort),
		WorkerAddress: s.at(h, workerPort), MaxLease: settings.Duration(time.Second), ReportInterval: settings.Duration(reportEvery)}})
}

func (s *site) close() {
	s.stop()
	for _, p := range s.processes {
		p.close()
	}
	for _, p := range s.proxies {
		p.close()
	}
	if s.storePort != nil {
		s.storePort.close()
	}
	s.wg.Wait()
	for _, w := range s.workers {
		w.Crash()
	}
	if s.store != nil {
		s.store.Close()
	}
	if s.dir != "" {
		os.RemoveAll(s.dir)
	}
}
