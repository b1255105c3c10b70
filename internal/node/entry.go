// Package node assembles the processes from their parts: an entry instance with its
// controllers and its Resource API, a sidecar, and the standalone role, which runs all
// roles in one process.
package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"

	"github.com/fasthttp/router"
	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/controller"
	"github.com/cardamomturn/cardamomturn/internal/entry"
	"github.com/cardamomturn/cardamomturn/internal/event"
	"github.com/cardamomturn/cardamomturn/internal/metrics"
	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/internal/resourceapi"
	"github.com/cardamomturn/cardamomturn/internal/store"
)

// Entry is an entry instance with its controllers.
type Entry struct {
	*entry.Entry
	// Config is the controller of the configuration.
	Config *controller.ConfigController

	api               *resourceapi.API
	limits            *controller.LimitController
	membership        *controller.MembershipController
	cancelControllers context.CancelFunc
	controllersCtx    context.Context
}

// NewEntry opens the ports of an entry instance. The metrics may be nil.
func NewEntry(cfg entry.Config, st store.Store, m *metrics.Registry) (*Entry, error) {
	n := &Entry{}
	n.controllersCtx, n.cancelControllers = context.WithCancel(context.Background())
	n.Config = controller.NewConfigController(controller.ConfigOptions{
		Store: st, Clock: clock.Real{}, Rand: newRand(), Log: eventLogf(event.ConfigControllerFault),
	})
	status := &deferredStatus{}
	n.api = resourceapi.New(resourceapi.Options{Config: loggingConfig{n.Config}, Status: status, Clock: clock.Real{}})
	e, err := entry.New(cfg, entry.Deps{
		ConfigSource:      n.Config,
		Metrics:           m,
		AddOperatorRoutes: func(r *router.Router) { n.api.RegisterRoutes(r) },
		StatusChanged:     n.api.StatusChanged,
	})
	if err != nil {
		n.cancelControllers()
		return nil, err
	}
	status.Entry = e
	n.Entry = e
	n.limits = controller.NewLimitController(st, e, clock.Real{}, newRand(), eventLogf(event.LimitControllerFault))
	n.Config.Subscribe(func(doc *resource.Document) {
		event.LogTo(klog.Background(), event.ConfigInForce, "revision", doc.Revision)
		e.Reload()
		n.limits.RequestCheck()
	})
	n.membership = controller.NewMembershipController(st, e, clock.Real{}, newRand(), eventLogf(event.MembershipControllerFault))
	return n, nil
}

// deferredStatus provides the status to the Resource API. It breaks the dependency
// cycle between the API and the entry instance: Entry is set after both exist and
// before the ports are served.
type deferredStatus struct{ *entry.Entry }

// Run serves until ctx ends, and then shuts down gracefully.
func (n *Entry) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for _, run := range []func(context.Context){n.Config.Run, n.limits.Run, n.membership.Run} {
		wg.Go(func() { run(n.controllersCtx) })
	}
	err := n.Entry.Run(ctx)
	n.api.Close()
	n.cancelControllers()
	wg.Wait()
	return errors.Trace(err)
}

// Kill stops the entry instance at once, as a crash would. Run returns.
func (n *Entry) Kill() {
	n.cancelControllers()
	n.Entry.Kill()
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// eventLogf returns a log function that logs each message as the event ev.
func eventLogf(ev *event.Event) controller.Logf {
	return func(format string, args ...any) {
		event.LogTo(klog.Background(), ev, "detail", fmt.Sprintf(format, args...))
	}
}
