package live

import (
	"context"
	"encoding/json"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/cardamomturn/cardamomturn/internal/backend"
	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/controller"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/node"
	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/internal/sidecar"
	"github.com/cardamomturn/cardamomturn/internal/store/memstore"
	"github.com/cardamomturn/cardamomturn/test/experiment/cluster"
	"github.com/cardamomturn/cardamomturn/test/experiment/entryproc"
	"github.com/cardamomturn/cardamomturn/test/experiment/load"
)

const (
	benchmarkWorkers = 4
	benchmarkSlots   = 64
	benchmarkCallers = 8
	// warmUpDivisor divides the measured interval to give the length of the
	// warm-up before it.
	warmUpDivisor = 4
	// profileEnv is the environment variable that names the file for a CPU
	// profile of the measured entry instance.
	profileEnv = "EXPERIMENT_ENTRY_PROFILE"
)

// entryBenchmark measures one entry instance, which runs in a separate process.
// The workers and the callers run in this process.
type entryBenchmark struct {
	settings entryproc.Settings
	process  *entryproc.Process
	server   *memstore.Server
	stops    []func() error
	client   *fasthttp.HostClient
	body     []byte
	// measuring is true from the first reading of the processor time.
	// startedTasks counts the tasks of complete jobs that were submitted after
	// that reading.
	measuring    atomic.Bool
	startedTasks atomic.Int64
}

// StartsPerCore implements cluster.CoreRateMeter.
func (c *Cluster) StartsPerCore(d time.Duration) (rate float64, err error) {
	bench := &entryBenchmark{}
	defer func() {
		if closeErr := bench.close(); err == nil {
			err = closeErr
		}
	}()
	if err := bench.start(c.opts); err != nil {
		return 0, err
	}
	return bench.measure(d)
}

func (bench *entryBenchmark) start(o cluster.Options) error {
	var addrs [3]string
	for i := range addrs {
		var err error
		if addrs[i], err = freeAddress(); err != nil {
			return err
		}
	}
	bench.settings = entryproc.Settings{
		Instance: "rated", CallerAddress: addrs[0], OperatorAddress: addrs[1], InternalAddress: addrs[2],
		Profile: os.Getenv(profileEnv),
	}
	if err := bench.startStore(o.Document); err != nil {
		return err
	}
	var err error
	if bench.process, err = entryproc.Start(bench.settings); err != nil {
		return err
	}
	for i := range benchmarkWorkers {
		if err := bench.startWorker(i); err != nil {
			return err
		}
	}
	job := jobapi.JobRequest{Team: o.Deployment.Teams[0], Kind: o.Deployment.Kinds[0].Name}
	for i := range jobapi.MaxTasks {
		payload, err := json.Marshal(cluster.Payload{Request: "rate", Task: i})
		if err != nil {
			return errors.Trace(err)
		}
		job.Tasks = append(job.Tasks, jobapi.TaskRequest{Payload: payload})
	}
	if bench.body, err = json.Marshal(job); err != nil {
		return errors.Trace(err)
	}
	bench.client = &fasthttp.HostClient{Addr: bench.settings.CallerAddress, MaxConns: benchmarkCallers}
	return bench.awaitJob()
}

// startStore serves a separate store, so that the measured entry instance finds
// no other entry instance in it.
func (bench *entryBenchmark) startStore(doc *resource.Document) error {
	lis, err := net.Listen("tcp", anyPort)
	if err != nil {
		return errors.Annotate(err, "listen for the store")
	}
	store := memstore.New(clock.Real{}, maxWatchWait)
	bench.server = memstore.NewServer(store)
	go bench.server.Serve(lis)
	bench.settings.StoreAddress = lis.Addr().String()
	data, err := resource.Encode(doc)
	if err != nil {
		return errors.Annotate(err, "encode the document")
	}
	_, err = store.CompareAndSwap(context.Background(), controller.ConfigKey, data, 0, 0)
	return errors.Annotate(err, "write the document")
}

func (bench *entryBenchmark) startWorker(i int) error {
	s, err := node.NewSidecar(sidecar.Config{
		Instance: "rated-" + cluster.ProcessName(cluster.Sidecar, i), Zone: "zone-1", Rack: "rack-1", LocalAddress: anyPort,
		InternalAddress: anyPort, OperatorAddress: anyPort, EntryAddresses: []string{bench.settings.InternalAddress},
	}, nil)
	if err != nil {
		return errors.Annotate(err, "start a sidecar")
	}
	bench.run(s.Run)
	b, err := backend.New(backend.Config{
		Name: cluster.ProcessName(cluster.Backend, i), Service: load.Service, Zone: "zone-1", Rack: "rack-1",
		SidecarAddress: s.LocalAddr(), Slots: benchmarkSlots, Connections: benchmarkSlots,
	})
	if err != nil {
		return errors.Annotate(err, "start a backend server")
	}
	bench.run(b.Run)
	return nil
}

// run starts serve in a goroutine; close cancels it and waits for its end.
func (bench *entryBenchmark) run(serve func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- serve(ctx) }()
	bench.stops = append(bench.stops, func() error {
		cancel()
		return <-done
	})
}

// awaitJob submits jobs until one completes or readyTimeout has passed.
func (bench *entryBenchmark) awaitJob() error {
	deadline := time.Now().Add(readyTimeout)
	for {
		err := bench.submit()
		if err == nil || time.Now().After(deadline) {
			return errors.Annotate(err, "first job")
		}
		time.Sleep(readyPoll)
	}
}

func (bench *entryBenchmark) submit() error {
	counted := bench.measuring.Load()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + bench.settings.CallerAddress + "/v1/jobs")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBodyRaw(bench.body)
	if err := bench.client.DoTimeout(req, resp, readyTimeout); err != nil {
		return errors.Trace(err)
	}
	var answer jobapi.JobAnswer
	if err := json.Unmarshal(resp.Body(), &answer); err != nil {
		return errors.Annotatef(err, "status %d", resp.StatusCode())
	}
	if answer.State != jobapi.JobComplete {
		return errors.Errorf("job ended as %s (%s)", answer.State, answer.Reason)
	}
	if counted {
		bench.startedTasks.Add(int64(len(answer.Tasks)))
	}
	return nil
}

// measure returns the task starts per second of processor time. The jobs in
// flight at the first reading use processor time until they end, but their tasks
// aren't counted.
func (bench *entryBenchmark) measure(d time.Duration) (float64, error) {
	deadline := time.Now().Add(d + d/warmUpDivisor)
	failed := make(chan error, benchmarkCallers)
	var wg sync.WaitGroup
	for range benchmarkCallers {
		wg.Go(func() {
			for time.Now().Before(deadline) {
				if err := bench.submit(); err != nil {
					failed <- err
					return
				}
			}
		})
	}
	time.Sleep(d / warmUpDivisor)
	before, err := bench.process.CPU()
	if err != nil {
		return 0, err
	}
	bench.measuring.Store(true)
	wg.Wait()
	after, err := bench.process.CPU()
	if err != nil {
		return 0, err
	}
	select {
	case err := <-failed:
		return 0, err
	default:
	}
	return float64(bench.startedTasks.Load()) / (after - before).Seconds(), nil
}

// close stops the entry instance, then the workers in the reverse order of their
// start, then the store.
func (bench *entryBenchmark) close() error {
	var firstErr error
	keepFirst := func(err error) {
		if firstErr == nil {
			firstErr = err
		}
	}
	if bench.process != nil {
		keepFirst(bench.process.Close())
	}
	for i := len(bench.stops) - 1; i >= 0; i-- {
		keepFirst(bench.stops[i]())
	}
	if bench.server != nil {
		keepFirst(bench.server.Close())
	}
	return errors.Annotate(firstErr, "close the measured entry instance")
}
