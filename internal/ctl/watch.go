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
		Usage:     "print each change of a type or resource, and where it is in force",
		UsageText: "cardamomctl watch [--since REVISION] [--count N] [--for TIME] TYPE [NAME]",
		Description: "A lost connection is resumed from the last revision seen. If the server no longer\n" +
			"knows that revision, the watch says so and starts again with the present state.",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "since", Usage: "print what changed after this `REVISION`; 0 prints the present state first"},
			&cli.IntFlag{Name: "count", Usage: "end after `N` lines; 0 goes on until interrupted"},
			&cli.DurationFlag{Name: "for", Usage: "end after this `TIME`; 0 goes on until interrupted"},
		},
		Action: p.watch,
	}
}

func (p *program) watch(c *cli.Context) error {
	if c.NArg() < 1 || c.NArg() > 2 {
		return usage("watch needs TYPE [NAME]")
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
		program: p, client: p.client(), path: path + "?watch=true", since: c.Uint64("since"),
		left: c.Int("count"), told: map[resource.Ref]int64{}, contact: time.Now(),
	}
	if limit := c.Duration("for"); limit > 0 {
		w.end = time.Now().Add(limit)
	}
	return w.run()
}

// watcher follows one watch through lost connections.
type watcher struct {
	program *program
	client  *Client
	path    string
	// since is the last revision seen; zero asks for the present state.
	since uint64
	// end is when to stop; zero for never.
	end time.Time
	// left is the number of lines still to print; zero means no bound.
	left int
	// opening is true until the first heartbeat of a stream. A resumed stream
	// repeats there which generations are in force.
	opening bool
	// told holds the generations shown as in force everywhere.
	told map[resource.Ref]int64
	// contact is the time of the last event.
	contact time.Time
}

// run watches until the count or the time is reached, or the server stays
// unreachable for the timeout of the command.
func (w *watcher) run() error {
	for attempt := 0; ; attempt++ {
		before := w.contact
		w.opening = true
		err := w.client.stream(w.path, w.since, w.end, w.event)
		if w.contact != before {
			attempt = 0
		}
		var lost *lostError
		switch {
		case err == nil || w.expired():
			return nil
		case errors.Is(err, errGone):
			fmt.Fprintf(w.program.Err, "cardamomctl: the changes since revision %d are no longer known; starting from a snapshot\n", w.since)
			w.since = 0
			clear(w.told)
			continue
		case !errors.As(err, &lost) && exitCode(err) != ExitUnavailable:
			return err
		}
		w.client.deadline = w.contact.Add(w.program.timeout)
		if !w.end.IsZero() && w.end.Before(w.client.deadline) {
			w.client.deadline = w.end
		}
		if !w.client.pause(attempt) {
			if w.waitEnd() {
				return nil
			}
			return &codeError{ExitUnavailable, err}
		}
	}
}

func (w *watcher) expired() bool { return !w.end.IsZero() && !time.Now().Before(w.end) }

// waitEnd reports whether the time of the watch ends within the timeout, and
// waits for it.
func (w *watcher) waitEnd() bool {
	if w.end.IsZero() || w.end.After(w.contact.Add(w.program.timeout)) {
		return false
	}
	time.Sleep(time.Until(w.end))
	return true
}

// event takes one event; it returns false when the watch is complete.
func (w *watcher) event(e watchEvent) (bool, error) {
	w.contact = time.Now()
	if e.Type == resourceapi.EventHeartbeat {
		w.opening = false
	}
	w.since = max(w.since, e.Revision)
	if e.Resource == nil || w.repeated(e) {
		return true, nil
	}
	if err := w.program.printEvent(e); err != nil {
		return false, err
	}
	w.left--
	return w.left != 0, nil
}

// repeated reports whether the event only says again, at the beginning of a
// resumed stream, that a generation is in force.
func (w *watcher) repeated(e watchEvent) bool {
	if e.Type != resourceapi.EventStatus || e.Status == nil || e.Status.InForceSince.IsZero() {
		return false
	}
	shown, known := w.told[*e.Resource]
	w.told[*e.Resource] = e.Status.ObservedGeneration
	return w.opening && known && shown == e.Status.ObservedGeneration
}

// printEvent prints one event on one line.
func (p *program) printEvent(e watchEvent) error {
	if p.output == outputJSON {
		return errors.Annotate(json.NewEncoder(p.Out).Encode(e), "writing output")
	}
	text := fmt.Sprintf("%-6s %s", e.Type, e.Resource)
	if o := e.Object; o != nil {
		text += fmt.Sprintf(" generation %d version %d %s", o.Metadata.Generation, o.Metadata.ResourceVersion, compact(o.Spec))
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
