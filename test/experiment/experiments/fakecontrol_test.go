package experiments

import (
	"fmt"
	"net/http/httptest"
	"time"

	"github.com/cardamomturn/cardamomturn/test/experiment/cluster"
)

func (f *fakeCluster) Start(r cluster.Role, i int) error {
	switch r {
	case cluster.Entry:
		return f.startEntry(i, f.CallerAddress(i))
	case cluster.Backend:
		f.setStopped(i, false)
		return f.backends[i].Start()
	}
	return nil
}

func (f *fakeCluster) Stop(r cluster.Role, i int) error {
	switch r {
	case cluster.Entry:
		f.entry(i).Close()
	case cluster.Backend:
		f.setStopped(i, true)
		return f.backends[i].Leave(time.Minute)
	}
	return nil
}

func (f *fakeCluster) Kill(r cluster.Role, i int) error {
	switch r {
	case cluster.Entry:
		f.entry(i).CloseClientConnections()
		f.entry(i).Close()
	case cluster.Backend:
		f.setStopped(i, true)
		f.backends[i].Kill()
	}
	return nil
}

func (f *fakeCluster) setStopped(i int, stopped bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopped[i] = stopped
}

func (f *fakeCluster) entry(i int) *httptest.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.entries[i]
}

func (f *fakeCluster) Pause(cluster.Role, int) error  { return nil }
func (f *fakeCluster) Resume(cluster.Role, int) error { return nil }

func (f *fakeCluster) CallerAddress(i int) string                   { return f.entry(i).Listener.Addr().String() }
func (f *fakeCluster) OperatorAddress(i int) string                 { return f.CallerAddress(i) }
func (f *fakeCluster) Backend(i int) *cluster.BackendServer         { return f.backends[i] }
func (f *fakeCluster) SetStoreFault(cluster.StoreFault)             {}
func (f *fakeCluster) Partition(int, int)                           {}
func (f *fakeCluster) HealPartition(int, int)                       {}
func (f *fakeCluster) SnapshotStore() func()                        { return func() {} }
func (f *fakeCluster) StoreCalls() cluster.StoreCalls               { return cluster.StoreCalls{} }
func (f *fakeCluster) Counters() cluster.Counters                   { return cluster.Counters{Starts: f.starts.Load()} }
func (f *fakeCluster) StartsPerCore(time.Duration) (float64, error) { return 1, nil }

func (f *fakeCluster) Processes() []cluster.Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []cluster.Process
	for i, incarnation := range f.incarnations {
		list = append(list, cluster.Process{
			Role: cluster.Entry, Index: i, Incarnation: fmt.Sprintf("entry-%d.%x", i, incarnation), Revision: f.revision,
		})
	}
	return list
}

func (f *fakeCluster) Close() error {
	for i := range f.entries {
		f.entry(i).Close()
	}
	for _, b := range f.backends {
		b.Kill()
	}
	f.sidecar.Close()
	return nil
}
