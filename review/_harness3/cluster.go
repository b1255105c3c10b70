package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/settings"
	"github.com/cardamomturn/cardamomturn/platform/standin"
)

// A small deployment like that of sites/sdl-nbo.toml: three zones, an entry instance in each, and
// eleven workers with a sidecar each.
var (
	zones       = []string{"nbo-a", "nbo-b", "thk-a"}
	workerZones = []int{0, 0, 0, 0, 1, 1, 1, 1, 2, 2, 2}
)

const (
	numEntries     = 3
	workerMilliCPU = 64000
	workerMemoryMB = 262144
	httpHost       = "review.example"
	service        = "deposit-desk"
	// Bounds of the site.
	reportInterval  = 1500 * time.Millisecond
	cancelTime      = 3 * time.Second
	stopTimeout     = 50 * time.Millisecond
	acknowledgeTime = 4 * time.Second
	contactTime     = 3 * time.Second
)

// cluster is the deployment with its stand-ins.
type cluster struct {
	rec       *recorder
	dir       string
	binary    string
	ports     map[string]int
	store     *standin.Store
	workers   []*standin.Worker
	entries   []*process
	sidecars  []*process
	proxies   []*proxy
	names     []string
	version   int
	stop      chan struct{}
	reporting sync.WaitGroup

	cutMu sync.Mutex
	// cuts reports whether two processes, or a process and the store, can't reach each other.
	cuts func(a, b string) bool
}

func entryName(i int) string   { return fmt.Sprintf("frontend-%s-1", zones[i]) }
func sidecarName(i int) string { return fmt.Sprintf("side-%s-%d", zones[workerZones[i]], i) }

// host returns the loopback address of a machine. Proxies have addresses of their own.
func host(machine int) string      { return fmt.Sprintf("127.77.%d.%d", os.Getpid()%250, 1+machine) }
func proxyHost(machine int) string { return host(machine + 100) }

func machineOfEntry(i int) int   { return 10 + i }
func machineOfSidecar(i int) int { return 20 + i }

const storeMachine = 1

func freePorts(names ...string) (map[string]int, error) {
	ports := map[string]int{}
	for _, name := range names {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer lis.Close()
		ports[name] = lis.Addr().(*net.TCPAddr).Port
	}
	return ports, nil
}

func (c *cluster) at(address, port string) string {
	return fmt.Sprintf("%s:%d", address, c.ports[port])
}

func (c *cluster) callerAddress(entry int) string {
	return c.at(host(machineOfEntry(entry)), "caller")
}

func (c *cluster) cut(a, b string) bool {
	c.cutMu.Lock()
	cuts := c.cuts
	c.cutMu.Unlock()
	return cuts != nil && (cuts(a, b) || cuts(b, a))
}

func (c *cluster) setCuts(f func(a, b string) bool) {
	c.cutMu.Lock()
	defer c.cutMu.Unlock()
	c.cuts = f
}

func newCluster(rec *recorder) (*cluster, error) {
	c := &cluster{rec: rec, binary: "target/cardamomturn-platform", stop: make(chan struct{})}
	var err error
	if c.binary, err = filepath.Abs(c.binary); err != nil {
		return nil, err
	}
	if _, err := os.Stat(c.binary); err != nil {
		return nil, fmt.Errorf("the build of the deploy file is missing: %w", err)
	}
	if c.dir, err = os.MkdirTemp("", "review3-"); err != nil {
		return nil, err
	}
	if c.ports, err = freePorts("internal", "caller", "ready", "report", "worker", "store", "metrics"); err != nil {
		return c, err
	}
	for i := range numEntries {
		c.names = append(c.names, entryName(i))
	}
	for i := range workerZones {
		c.names = append(c.names, sidecarName(i))
	}
	if c.store, err = standin.NewStore(c.at(host(storeMachine), "store")); err != nil {
		return c, err
	}
	c.configure()
	for i := range numEntries {
		if err := c.startEntry(i); err != nil {
			return c, err
		}
	}
	for i := range workerZones {
		if err := c.startSidecar(i); err != nil {
			return c, err
		}
	}
	return c, nil
}

// configure writes the next version of the configuration.
func (c *cluster) configure() {
	c.version += 3
	c.store.Configure(c.version, httpHost, service, 3, []string{"/q0/", "/q1/", "/q2/"})
}

// processSettings are those of deploy/*.json.tmpl with the values of the site.
func (c *cluster) processSettings(name, zone string, machine, memoryMB, descriptors int) (settings.PlatformProcess, error) {
	p, err := newProxy(c.at(proxyHost(machine), "internal"), c.at(host(machine), "internal"), name, c.names, c.cut)
	if err != nil {
		return settings.PlatformProcess{}, err
	}
	c.proxies = append(c.proxies, p)
	s, err := newProxy(c.at(proxyHost(machine), "store"), c.store.Address(), "store", []string{"GET ", "POST ", "DELETE "}, func(string, string) bool { return c.cut(name, "store") })
	if err != nil {
		return settings.PlatformProcess{}, err
	}
	c.proxies = append(c.proxies, s)
	var seeds []string
	for i := range numEntries {
		seeds = append(seeds, c.at(proxyHost(machineOfEntry(i)), "internal"))
	}
	return settings.PlatformProcess{Instance: name, Zone: zone, Host: host(machine), InternalPort: c.ports["internal"], Advertise: c.at(proxyHost(machine), "internal"),
		MetricsPort: c.ports["metrics"], Seeds: seeds, Store: c.at(proxyHost(machine), "store"), MemoryMB: memoryMB, Descriptors: descriptors, Grace: settings.Duration(6 * time.Second)}, nil
}

func (c *cluster) startEntry(i int) error {
	m, remoteFactor := machineOfEntry(i), 1.5
	common, err := c.processSettings(entryName(i), zones[i], m, 284, 4100)
	if err != nil {
		return err
	}
	p, err := startProcess(c.dir, c.binary, "entry", entryName(i), settings.PlatformFile{Broker: &settings.Broker{PlatformProcess: common,
		CallerAddress: c.callerAddress(i), ReadyAddress: c.at(host(m), "ready"), ApplyWithin: settings.Duration(2 * time.Second), AdaptToDelay: true, RemoteFactor: &remoteFactor}})
	if err == nil {
		c.entries = append(c.entries, p)
	}
	return err
}

func (c *cluster) startSidecar(i int) error {
	m := machineOfSidecar(i)
	common, err := c.processSettings(sidecarName(i), zones[workerZones[i]], m, 152, 4096)
	if err != nil {
		return err
	}
	w := &standin.Worker{ID: fmt.Sprintf("i-%08x", 0x7f3a0000+i), Service: service, Zone: common.Zone, MilliCPU: workerMilliCPU, MemoryMB: workerMemoryMB,
		Labels: []string{[]string{"a", "a", "b"}[i%3], fmt.Sprintf("r1-%d", i/3)}}
	if err := w.Start(c.at(host(m), "worker")); err != nil {
		return err
	}
	c.workers = append(c.workers, w)
	p, err := startProcess(c.dir, c.binary, "sidecar", common.Instance, settings.PlatformFile{Runner: &settings.Runner{PlatformProcess: common,
		ReportAddress: c.at(host(m), "report"), WorkerAddress: c.at(host(m), "worker"), MaxLease: settings.Duration(time.Second), ReportInterval: settings.Duration(reportInterval)}})
	if err != nil {
		return err
	}
	c.sidecars = append(c.sidecars, p)
	c.reporting.Add(1)
	go func() {
		defer c.reporting.Done()
		for {
			wait := reportInterval
			if w.Report(c.at(host(m), "report")) != nil {
				wait /= 5 // the sidecar is starting
			}
			select {
			case <-c.stop:
				return
			case <-time.After(wait):
			}
		}
	}()
	return nil
}

// ready reports whether an entry instance answers the readiness check with 200.
func (c *cluster) ready(entry int) bool {
	client := http.Client{Timeout: 300 * time.Millisecond}
	resp, err := client.Get("http://" + c.at(host(machineOfEntry(entry)), "ready") + standin.PathReady)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (c *cluster) awaitReady(timeout time.Duration, entries ...int) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		all := true
		for _, i := range entries {
			all = all && c.ready(i)
		}
		if all {
			return true
		}
	}
	return false
}

// runsOf returns all runs of a job at all workers.
func (c *cluster) runsOf(job string) []standin.Run {
	var list []standin.Run
	for _, w := range c.workers {
		history, _ := w.History()
		for _, r := range history {
			if strings.HasPrefix(r.Task, job+".") {
				list = append(list, r)
			}
		}
	}
	return list
}

func (c *cluster) close() {
	close(c.stop)
	for _, list := range [][]*process{c.entries, c.sidecars} {
		for _, p := range list {
			p.close()
		}
	}
	for _, p := range c.proxies {
		p.close()
	}
	c.reporting.Wait()
	for _, w := range c.workers {
		w.Crash()
	}
	if c.store != nil {
		c.store.Close()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(c.dir)
	} else {
		fmt.Println("logs in", c.dir)
	}
}
