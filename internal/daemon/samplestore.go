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
	defaultSampleStore = "127.0.0.1:7430"
	// sampleStoreWait is the longest wait of a watch of the sample store.
	sampleStoreWait = 30 * time.Second
)

func sampleStoreCommand(s Streams) *cli.Command {
	return &cli.Command{
		Name:        "sample-store",
		Usage:       "run a stand-in for the platform's store, for trying out and tests",
		UsageText:   "cardamomturnd sample-store [--address IP:PORT]",
		Description: "It keeps everything in memory and forgets it at its end. Not for production.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Usage: "listen on `IP:PORT`; port 0 selects a free one", Value: defaultSampleStore},
		},
		Action: func(c *cli.Context) error {
			if c.NArg() > 0 {
				return usage("sample-store takes no arguments")
			}
			l, err := net.Listen("tcp", c.String("address"))
			if err != nil {
				return errors.Annotatef(err, "listening on %s", c.String("address"))
			}
			fmt.Fprintf(s.Out, "sample store on %s\n", l.Addr())
			r := &sampleStore{listener: l, server: memstore.NewServer(memstore.New(clock.Real{}, sampleStoreWait))}
			return serve(c.Context, r, settings.DefaultTiming())
		},
	}
}

// sampleStore is the role of the store stand-in.
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
