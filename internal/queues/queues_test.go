package queues

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

func newConfig(version uint64, prefixes ...string) *Config {
	c := &Config{Version: version}
	for _, p := range prefixes {
		c.Queues = append(c.Queues, Queue{Name: p, Host: "Site.Example", PathPrefix: p, Service: "svc"})
	}
	return c
}

// TestFind guards against a queue with a shorter prefix being found instead of
// one with a longer prefix, and against hosts that are not found because they
// differ in case or include a port.
func TestFind(t *testing.T) {
	table, err := NewTable(newConfig(1, "/a/", "/a/b/", "/c/"), time.Now())
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ host, path, queue, rest string }{
		{"site.example", "/a/x", "/a/", "x"},
		{"SITE.example:80", "/a/b/x", "/a/b/", "x"},
		{"site.example", "/c/", "/c/", ""},
		{"site.example", "/d/x", "", ""},
		{"other.example", "/a/x", "", ""},
	} {
		q, rest := table.Find(c.host, c.path)
		name := ""
		if q != nil {
			name = q.Name
		}
		if name != c.queue || rest != c.rest {
			t.Errorf("%s%s: queue %q rest %q, want %q %q", c.host, c.path, name, rest, c.queue, c.rest)
		}
	}
}

// TestVersionNeverDecreases guards against a configuration that is replaced by
// an older, an equal or an invalid one.
func TestVersionNeverDecreases(t *testing.T) {
	c := NewController(nil)
	for _, step := range []struct {
		apply *Config
		want  uint64
	}{{newConfig(5, "/a/"), 5}, {newConfig(3, "/b/"), 5}, {newConfig(5, "/b/"), 5}, {nil, 5},
		{&Config{Version: 9, Queues: []Queue{{Name: "broken"}}}, 5}, {newConfig(7, "/c/"), 7}} {
		c.Apply(step.apply, "test")
		if got := c.Version(); got != step.want {
			t.Errorf("version %d in force, want %d", got, step.want)
		}
	}
}

// fakeSource is a Source whose results the test sets.
type fakeSource struct {
	mu      sync.Mutex
	newest  *Config
	failing bool
	reads   int
}

func (s *fakeSource) Read(context.Context) (*Config, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.failing {
		return nil, 0, errors.New("down")
	}
	return s.newest, 1, nil
}

func (s *fakeSource) Watch(ctx context.Context, _ uint64) (*Config, uint64, error) {
	select {
	case <-ctx.Done():
	case <-time.After(5 * time.Millisecond):
	}
	return nil, 0, errors.New("history compacted")
}

func (s *fakeSource) Decode([]byte) (*Config, error) {
	return nil, errors.New("malformed configuration")
}

// TestRunRetriesFailedSource guards against a version that is missed because each
// watch fails, and against a source that is read without a delay while it is
// down.
func TestRunRetriesFailedSource(t *testing.T) {
	s := &fakeSource{newest: newConfig(1, "/a/")}
	c := NewController(s)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { c.Run(ctx); close(done) }()
	waitForVersion(t, c, 1)
	s.mu.Lock()
	s.failing = true
	s.mu.Unlock()
	c.ApplyEncoded([]byte("x"), "peer")
	time.Sleep(300 * time.Millisecond)
	s.mu.Lock()
	if s.reads > 30 {
		t.Errorf("%d reads within 300 ms, want at most 30", s.reads)
	}
	s.failing, s.newest = false, newConfig(2, "/b/")
	s.mu.Unlock()
	waitForVersion(t, c, 2)
	cancel()
	<-done
}

func waitForVersion(t *testing.T, c *Controller, version uint64) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if c.Version() == version {
			return
		}
	}
	t.Fatalf("version %d is not in force after 10 s", version)
}

// hastySource is a Source whose watches end at once without a change.
type hastySource struct {
	fakeSource
	watches int
}

func (s *hastySource) Watch(_ context.Context, position uint64) (*Config, uint64, error) {
	const most = 1000
	if s.watches++; s.watches > most {
		return nil, position, errors.New("too many watches")
	}
	return nil, position, nil
}

// TestWatchesThatEndAtOnce guards against a controller that watches without a pause if the store ends each watch at once.
func TestWatchesThatEndAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		s := &hastySource{}
		err := NewController(s).watch(ctx, 1)
		if most := int(time.Second/minRetryDelay) + 1; err != nil || s.watches > most {
			t.Errorf("%d watches in a second, error %v, want at most %d", s.watches, err, most)
		}
	})
}

// emptySource is a Source whose watches return at once and report no change.
type emptySource struct {
	fakeSource
	watches atomic.Int64
}

func (s *emptySource) Watch(context.Context, uint64) (*Config, uint64, error) {
	s.watches.Add(1)
	return nil, 0, nil
}

// TestWatchWithoutWait guards against a store that is asked without a delay because its
// watches return at once.
func TestWatchWithoutWait(t *testing.T) {
	s := &emptySource{fakeSource: fakeSource{newest: newConfig(1, "/a/")}}
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	NewController(s).Run(ctx)
	if n := s.watches.Load(); n > 30 {
		t.Errorf("%d watches within 300 ms, want at most 30", n)
	}
}
