package daemon

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v2"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/settings"
	"github.com/cardamomturn/cardamomturn/internal/store/memstore"
)

const (
	defaultSampleStoreAddress = "127.0.0.1:7430"
	// sampleStoreMaxWait is the longest time that a watch request to the sample
	// store waits.
	sampleStoreMaxWait = 30 * time.Second
)

func sampleStoreCommand(s Streams) *cli.Command {
	return &cli.Command{
		Name:        "sample-store",
		Usage:       "run a stand-in for the platform's store, for trying out and tests",
		UsageText:   "cardamomturnd sample-store [--address IP:PORT]",
		Description: "The store keeps its data in memory only and loses it when the process ends. Not for production.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Usage: "listen on `IP:PORT`; port 0 selects a free one", Value: defaultSampleStoreAddress},
		},
		Action: func(c *cli.Context) error {
			if c.NArg() > 0 {
				return usageErrorf("sample-store takes no arguments")
			}
			l, err := net.Listen("tcp", c.String("address"))
			if err != nil {
				return errors.Annotatef(err, "listening on %s", c.String("address"))
			}
			fmt.Fprintf(s.Out, "sample store on %s\n", l.Addr())
			r := &sampleStore{listener: l, server: memstore.NewServer(memstore.New(clock.Real{}, sampleStoreMaxWait))}
			return serve(c.Context, r, settings.DefaultTiming())
		},
	}
}

// sampleStore is the runtime of the sample store.
type sampleStore struct {
	listener net.Listener
	server   *memstore.Server
}

// Run implements Runner.
func (s *sampleStore) Run(ctx context.Context) error {
	done := make(chan error, 1)
	go func() { done <- s.server.Serve(s.listener) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	if err := s.server.Close(); err != nil {
		return err
	}
	return <-done
}
