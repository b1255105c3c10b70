package main

import (
	"fmt"
	"math/rand"
	"syscall"
	"time"

	"github.com/cardamomturn/cardamomturn/platform/standin"
)

// fault is one kind of fault: it strikes, and returns what ends it.
type fault struct {
	name   string
	strike func(s *site, rnd *rand.Rand) (target string, end func())
}

// signals returns a fault that sends a signal to a process, and one at its end.
func signals(name string, begin, end syscall.Signal) fault {
	return fault{name, func(s *site, rnd *rand.Rand) (string, func()) {
		p := s.processes[rnd.Intn(len(s.processes))]
		p.signal(begin)
		return p.name, func() {
			if end != 0 {
				p.signal(end)
			}
		}
	}}
}

// links returns a fault of the connections to the internal port of a process.
func links(name string, f proxyFaults) fault {
	return fault{name, func(s *site, rnd *rand.Rand) (string, func()) {
		i := rnd.Intn(len(s.proxies))
		s.proxies[i].set(f)
		return s.processes[i].name, func() { s.proxies[i].set(proxyFaults{}) }
	}}
}

// workers returns a fault of a worker.
func workers(name string, f standin.Faults) fault {
	return fault{name, func(s *site, rnd *rand.Rand) (string, func()) {
		w := s.workers[rnd.Intn(len(s.workers))]
		w.SetFaults(f)
		return w.ID, func() { w.SetFaults(standin.Faults{}) }
	}}
}

var faults = []fault{
	signals("kill", syscall.SIGKILL, 0),
	signals("terminate", syscall.SIGTERM, 0),
	signals("pause", syscall.SIGSTOP, syscall.SIGCONT),
	signals("reload", syscall.SIGHUP, syscall.SIGHUP),
	links("links delayed", proxyFaults{Delay: 60 * time.Millisecond}),
	links("links silent", proxyFaults{SilentTo: true, SilentFrom: true}),
	links("links cut one way", proxyFaults{SilentTo: true}),
	links("links cut the other way", proxyFaults{SilentFrom: true}),
	links("links refused", proxyFaults{Refuse: true}),
	{"links reset", func(s *site, rnd *rand.Rand) (string, func()) {
		i := rnd.Intn(len(s.proxies))
		s.proxies[i].resetAll()
		return s.processes[i].name, func() {}
	}},
	workers("worker fails all", standin.Faults{FailAll: true}),
	workers("worker stalls", standin.Faults{Stall: true}),
	workers("worker silent", standin.Faults{Silent: true}),
	workers("orders unanswered", standin.Faults{UnansweredShare: 0.1}),
	workers("orders carried out late", standin.Faults{UnansweredShare: 0.1, LateShare: 1, LateDelay: 1500 * time.Millisecond}),
	{"worker restarts", func(s *site, rnd *rand.Rand) (string, func()) {
		i := rnd.Intn(len(s.workers))
		w := s.workers[i]
		w.Crash()
		return w.ID, func() {
			for w.Start(s.at(sidecarHost+i, workerPort)) != nil {
				time.Sleep(10 * time.Millisecond) // the port is not free yet
			}
		}
	}},
	{"worker drains", func(s *site, rnd *rand.Rand) (string, func()) {
		w := s.workers[rnd.Intn(len(s.workers))]
		w.SetDraining(true)
		return w.ID, func() { w.SetDraining(false) }
	}},
	{"store down", func(s *site, _ *rand.Rand) (string, func()) {
		s.store.SetDown(true)
		return "store", func() { s.store.SetDown(false) }
	}},
	{"store silent", func(s *site, _ *rand.Rand) (string, func()) {
		s.storePort.set(proxyFaults{SilentFrom: true})
		return "store", func() { s.storePort.set(proxyFaults{}) }
	}},
	{"store forgets", func(s *site, _ *rand.Rand) (string, func()) {
		s.store.Compact()
		return "store", func() {}
	}},
	{"configuration changes", func(s *site, rnd *rand.Rand) (string, func()) {
		list := []string{"/q0/", "/q1/", "/q2/"}
		for range rnd.Intn(20) {
			list = append(list, fmt.Sprintf("/x%d/", rnd.Intn(1000)))
		}
		s.configure(list...)
		return "operator", func() {}
	}},
}
