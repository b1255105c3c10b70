package entry

import (
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// BenchmarkJob measures a job of one empty task from the caller to the backend
// server and back. BenchmarkDirect measures the same task without the entry instance
// and the sidecar.
func BenchmarkJob(b *testing.B) {
	s := &testCluster{t: b}
	a := s.addEntry("a")
	s.addWorker("w1", a)
	waitForPeers(b, a)
	body := []byte(`{"team":"studio","kind":"seat","tasks":[{"payload":{}}]}`)
	postRequest(b, "http://"+a.CallerAddr()+"/v1/jobs", body)
	b.ResetTimer()
	for range b.N {
		postRequest(b, "http://"+a.CallerAddr()+"/v1/jobs", body)
	}
}

// BenchmarkDirect measures a direct call to the backend server, as the sidecar
// makes it.
func BenchmarkDirect(b *testing.B) {
	s := &testCluster{t: b}
	a := s.addEntry("a")
	s.addWorker("w1", a)
	b.ResetTimer()
	for range b.N {
		postRequest(b, "http://"+s.backends[0].Addr()+"/run", []byte(`{}`))
	}
}

// BenchmarkBatch measures jobs of 330 empty tasks from 8 concurrent callers.
func BenchmarkBatch(b *testing.B) {
	s := &testCluster{t: b}
	a := s.addEntry("a")
	for _, w := range []string{"w1", "w2", "w3", "w4"} {
		s.addWorker(w, a)
	}
	waitForPeers(b, a)
	body := []byte(`{"team":"studio","kind":"seat","tasks":[`)
	for i := range 330 {
		if i > 0 {
			body = append(body, ',')
		}
		body = append(body, `{"payload":{}}`...)
	}
	body = append(body, `]}`...)
	b.ResetTimer()
	start := time.Now()
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range b.N {
				postRequest(b, "http://"+a.CallerAddr()+"/v1/jobs", body)
			}
		})
	}
	wg.Wait()
	b.ReportMetric(float64(8*330*b.N)/time.Since(start).Seconds(), "starts/s")
}

func postRequest(b *testing.B, url string, body []byte) {
	r, w := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(r)
	defer fasthttp.ReleaseResponse(w)
	r.SetRequestURI(url)
	r.Header.SetMethod(fasthttp.MethodPost)
	r.SetBody(body)
	if err := fasthttp.Do(r, w); err != nil || w.StatusCode() != fasthttp.StatusOK {
		b.Errorf("status %d: %s, %v", w.StatusCode(), w.Body(), err)
	}
}
