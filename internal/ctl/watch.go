package ctl

import (
	"encoding/json"
	"fmt"
	"net/url"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v2"

	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/internal/resourceapi"
)

func (p *program) watchCommand() *cli.Command {
	return &cli.Command{
		Name:      "watch",
		Usage:     "print each change of a type or resource, and on how many processes it is in force",
		UsageText: "cardamomctl watch [--since REVISION] [--count N] [--for TIME] TYPE [NAME]",
		Description: "After a lost connection, the watch resumes from the last revision received. If the\n" +
			"server no longer has it, the watch reports that and starts again with the current state.",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "since", Usage: "print the changes after this `REVISION`; 0 prints the current state first"},
			&cli.IntFlag{Name: "count", Usage: "end after `N` lines; 0 means no limit"},
			&cli.DurationFlag{Name: "for", Usage: "end after this `TIME`; 0 means no limit"},
		},
		Action: p.watch,
	}
}

func (p *program) watch(c *cli.Context) error {
	if c.NArg() < 1 || c.NArg() > 2 {
		return usageErrorf("watch needs TYPE [NAME]")
	}
	t, err := parseType(c.Args().First())
	if err != nil {
		return err
	}
	path := "/v1/" + string(t)
	if c.NArg() == 2 {
		path += "/" + url.PathEscape(c.Args().Get(1))
	}
	w := &watcher{
		program: p, client: p.newClient(), path: path + "?watch=true", since: c.Uint64("since"),
		remaining: c.Int("count"), shownInForce: map[resource.Ref]int64{}, lastEventAt: time.Now(),
	}
	if duration := c.Duration("for"); duration > 0 {
		w.stopAt = time.Now().Add(duration)
	}
	return w.run()
}

// watcher runs one watch and resumes it after lost connections.
type watcher struct {
	program *program
	client  *Client
	path    string
	// since is the last revision received; zero requests the current state.
	since uint64
	// stopAt is the time at which the watch ends; zero means never.
	stopAt time.Time
	// remaining is the number of lines still to print; zero or less means no limit.
	remaining int
	// replaying is true until the first heartbeat of a stream. Before that
	// heartbeat, a resumed stream repeats which generations are in force.
	replaying bool
	// shownInForce holds the generations that were printed as in force on all
	// processes.
	shownInForce map[resource.Ref]int64
	// lastEventAt is the time of the last event. Before the first event, it is the
	// time at which the watch started.
	lastEventAt time.Time
}

// run watches until the number of lines or the end time is reached, or until the
// server has been unavailable for the timeout of the command.
func (w *watcher) run() error {
	for attempt := 0; ; attempt++ {
		previousEventAt := w.lastEventAt
		w.replaying = true
		err := w.client.streamEvents(w.path, w.since, w.stopAt, w.handleEvent)
		if w.lastEventAt != previousEventAt {
			attempt = 0
		}
		var noResponse *noResponseError
		switch {
		case err == nil || w.expired():
			return nil
		case errors.Is(err, errRevisionGone):
			fmt.Fprintf(w.program.Err, "cardamomctl: the server no longer has the changes since revision %d; starting from a snapshot\n", w.since)
			w.since = 0
			clear(w.shownInForce)
			continue
		case !errors.As(err, &noResponse) && exitCode(err) != ExitUnavailable:
			return err
		}
		w.client.deadline = w.lastEventAt.Add(w.program.timeout)
		if !w.stopAt.IsZero() && w.stopAt.Before(w.client.deadline) {
			w.client.deadline = w.stopAt
		}
		if !w.client.backoff(attempt) {
			if w.waitUntilStop() {
				return nil
			}
			return &exitError{ExitUnavailable, err}
		}
	}
}

func (w *watcher) expired() bool { return !w.stopAt.IsZero() && !time.Now().Before(w.stopAt) }

// waitUntilStop returns false at once if stopAt is not set or is after the timeout
// for an unreachable server. Otherwise it waits until stopAt and returns true.
func (w *watcher) waitUntilStop() bool {
	if w.stopAt.IsZero() || w.stopAt.After(w.lastEventAt.Add(w.program.timeout)) {
		return false
	}
	time.Sleep(time.Until(w.stopAt))
	return true
}

// handleEvent processes one event. It returns false when the watch is complete.
func (w *watcher) handleEvent(e watchEvent) (bool, error) {
	w.lastEventAt = time.Now()
	if e.Type == resourceapi.EventHeartbeat {
		w.replaying = false
	}
	w.since = max(w.since, e.Revision)
	if e.Resource == nil || w.isRepeatedStatus(e) {
		return true, nil
	}
	if err := w.program.printEvent(e); err != nil {
		return false, err
	}
	w.remaining--
	return w.remaining != 0, nil
}

// isRepeatedStatus reports whether the event only repeats, at the start of a
// resumed stream, that a generation is in force.
func (w *watcher) isRepeatedStatus(e watchEvent) bool {
	if e.Type != resourceapi.EventStatus || e.Status == nil || e.Status.InForceSince.IsZero() {
		return false
	}
	shown, known := w.shownInForce[*e.Resource]
	w.shownInForce[*e.Resource] = e.Status.ObservedGeneration
	return w.replaying && known && shown == e.Status.ObservedGeneration
}

// printEvent prints one event on one line.
func (p *program) printEvent(e watchEvent) error {
	if p.output == outputJSON {
		return errors.Annotate(json.NewEncoder(p.Out).Encode(e), "writing output")
	}
	text := fmt.Sprintf("%-6s %s", e.Type, e.Resource)
	if o := e.Object; o != nil {
		text += fmt.Sprintf(" generation %d version %d %s", o.Metadata.Generation, o.Metadata.ResourceVersion, compactJSON(o.Spec))
	}
	if s := e.Status; s != nil {
		text += fmt.Sprintf(" generation %d in force on %d of %d processes", s.ObservedGeneration, s.InForce, s.Processes)
		if !s.InForceSince.IsZero() {
			text += ", everywhere since " + s.InForceSince.Format(time.RFC3339Nano)
		}
	}
	_, err := fmt.Fprintln(p.Out, text)
	return errors.Annotate(err, "writing output")
}
