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
	rateWorkers = 4
	rateSlots   = 64
	rateCallers = 8
	// rateWarmUp is the part of the interval before the measured one.
	rateWarmUp = 4
	// profileVariable names the environment variable with a file for a
	// processor profile of the measured entry instance.
	profileVariable = "EXPERIMENT_ENTRY_PROFILE"
)

// rater is one entry instance in a process of its own, with workers and
// callers in this one.
type rater struct {
	settings entryproc.Settings
	process  *entryproc.Process
	server   *memstore.Server
	ends     []func() error
	client   *fasthttp.HostClient
	body     []byte
	// measuring is true from the first reading of the processor time; starts
	// counts the tasks of complete jobs that were submitted after it.
	measuring atomic.Bool
	starts    atomic.Int64
}

// StartsPerCore implements cluster.CoreRateMeter.
func (c *Cluster) StartsPerCore(d time.Duration) (rate float64, err error) {
	r := &rater{}
	defer func() {
		if closeErr := r.close(); err == nil {
			err = closeErr
		}
	}()
	if err := r.start(c.opts); err != nil {
		return 0, err
	}
	return r.measure(d)
}

func (r *rater) start(o cluster.Options) error {
	var addrs [3]string
	for i := range addrs {
		var err error
		if addrs[i], err = freeAddress(); err != nil {
			return err
		}
	}
	r.settings = entryproc.Settings{
		Instance: "rated", CallerAddress: addrs[0], OperatorAddress: addrs[1], InternalAddress: addrs[2],
		Profile: os.Getenv(profileVariable),
	}
	if err := r.startStore(o.Document); err != nil {
		return err
	}
	var err error
	if r.process, err = entryproc.Start(r.settings); err != nil {
		return err
	}
	for i := range rateWorkers {
		if err := r.startWorker(i); err != nil {
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
	if r.body, err = json.Marshal(job); err != nil {
		return errors.Trace(err)
	}
	r.client = &fasthttp.HostClient{Addr: r.settings.CallerAddress, MaxConns: rateCallers}
	return r.awaitJob()
}

// startStore serves a store of its own, so that the entry instance knows no
// other one.
func (r *rater) startStore(doc *resource.Document) error {
	lis, err := net.Listen("tcp", anyPort)
	if err != nil {
		return errors.Annotate(err, "listen for the store")
	}
	store := memstore.New(clock.Real{}, storeWait)
	r.server = memstore.NewServer(store)
	go r.server.Serve(lis)
	r.settings.StoreAddress = lis.Addr().String()
	data, err := resource.Encode(doc)
	if err != nil {
		return errors.Annotate(err, "encode the document")
	}
	_, err = store.CompareAndSwap(context.Background(), controller.ConfigKey, data, 0, 0)
	return errors.Annotate(err, "write the document")
}

func (r *rater) startWorker(i int) error {
	s, err := node.NewSidecar(sidecar.Config{
		Instance: "rated-" + cluster.ProcessName(cluster.Sidecar, i), Zone: "zone-1", Rack: "rack-1", LocalAddress: anyPort,
		InternalAddress: anyPort, OperatorAddress: anyPort, EntryAddresses: []string{r.settings.InternalAddress},
	}, nil)
	if err != nil {
		return errors.Annotate(err, "start a sidecar")
	}
	r.run(s.Run)
	b, err := backend.New(backend.Config{
		Name: cluster.ProcessName(cluster.Backend, i), Service: load.Service, Zone: "zone-1", Rack: "rack-1",
		SidecarAddress: s.LocalAddr(), Slots: rateSlots, Connections: rateSlots,
	})
	if err != nil {
		return errors.Annotate(err, "start a backend server")
	}
	r.run(b.Run)
	return nil
}

// run runs a part until close.
func (r *rater) run(serve func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- serve(ctx) }()
	r.ends = append(r.ends, func() error {
		cancel()
		return <-done
	})
}

// awaitJob submits jobs until one is complete.
func (r *rater) awaitJob() error {
	end := time.Now().Add(readyTimeout)
	for {
		err := r.submit()
		if err == nil || time.Now().After(end) {
			return errors.Annotate(err, "first job")
		}
		time.Sleep(readyPoll)
	}
}

func (r *rater) submit() error {
	counted := r.measuring.Load()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + r.settings.CallerAddress + "/v1/jobs")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBodyRaw(r.body)
	if err := r.client.DoTimeout(req, resp, readyTimeout); err != nil {
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
		r.starts.Add(int64(len(answer.Tasks)))
	}
	return nil
}

// measure returns the starts per second of processor time. The end of the jobs
// in flight at the first reading costs time and counts no start.
func (r *rater) measure(d time.Duration) (float64, error) {
	until := time.Now().Add(d + d/rateWarmUp)
	failed := make(chan error, rateCallers)
	var wg sync.WaitGroup
	for range rateCallers {
		wg.Go(func() {
			for time.Now().Before(until) {
				if err := r.submit(); err != nil {
					failed <- err
					return
				}
			}
		})
	}
	time.Sleep(d / rateWarmUp)
	before, err := r.process.CPU()
	if err != nil {
		return 0, err
	}
	r.measuring.Store(true)
	wg.Wait()
	after, err := r.process.CPU()
	if err != nil {
		return 0, err
	}
	select {
	case err := <-failed:
		return 0, err
	default:
	}
	return float64(r.starts.Load()) / (after - before).Seconds(), nil
}

// close ends all parts in the reverse order of their start.
func (r *rater) close() error {
	var first error
	note := func(err error) {
		if first == nil {
			first = err
		}
	}
	if r.process != nil {
		note(r.process.Close())
	}
	for i := len(r.ends) - 1; i >= 0; i-- {
		note(r.ends[i]())
	}
	if r.server != nil {
		note(r.server.Close())
	}
	return errors.Annotate(first, "close the rated entry instance")
}
