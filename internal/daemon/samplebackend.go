package daemon

import (
	"encoding/json"
	"fmt"
	"io"
	"sync"

	"github.com/urfave/cli/v2"

	"github.com/cardamomturn/cardamomturn/internal/backend"
	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/sampleclient"
	"github.com/cardamomturn/cardamomturn/internal/settings"
)

func sampleBackendCommand(s Streams) *cli.Command {
	return &cli.Command{
		Name:      "sample-backend",
		Usage:     "run a sample backend server, for trying out and tests",
		UsageText: "cardamomturnd sample-backend --sidecar IP:PORT [--name NAME] [--service SERVICE] [--zone ZONE] [--rack RACK] [--slots N]",
		Description: "The server announces itself to its sidecar and runs tasks with a payload such as\n" +
			"{\"echo\":1,\"sleepMs\":50}; {\"fail\":true} makes a task fail. Not for production.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "sidecar", Usage: "local address `IP:PORT` of the sidecar"},
			&cli.StringFlag{Name: "address", Usage: "listen on `IP:PORT`; port 0 selects a free one", Value: "127.0.0.1:0"},
			&cli.StringFlag{Name: "name", Usage: "`NAME` of the backend server", Value: "sample-backend"},
			&cli.StringFlag{Name: "service", Usage: "backend `SERVICE`", Value: sampleclient.Service},
			&cli.StringFlag{Name: "zone", Usage: "availability `ZONE`", Value: "zone-1"},
			&cli.StringFlag{Name: "rack", Usage: "`RACK` of the worker", Value: "rack-1"},
			&cli.IntFlag{Name: "slots", Usage: "largest number of tasks that run at the same time", Value: backend.DefaultSlots},
			&cli.BoolFlag{Name: "events", Usage: "print the start and the end of each task as a JSON line"},
		},
		Action: func(c *cli.Context) error { return runSampleBackend(c, s) },
	}
}

func runSampleBackend(c *cli.Context, s Streams) error {
	switch {
	case c.NArg() > 0:
		return usageErrorf("sample-backend takes no arguments")
	case c.String("sidecar") == "":
		return usageErrorf("sample-backend needs --sidecar IP:PORT")
	case c.Int("slots") < 1:
		return usageErrorf("%d slots: want 1 or more", c.Int("slots"))
	}
	for _, name := range []string{"name", "service", "zone", "rack"} {
		if !ident.ValidName(c.String(name), ident.MaxInstanceLen) {
			return usageErrorf("%s %q: want 1 to %d characters of A-Z, a-z, 0-9, _ and -", name, c.String(name), ident.MaxInstanceLen)
		}
	}
	cfg := backend.Config{
		Name: c.String("name"), Service: c.String("service"), Address: c.String("address"), SidecarAddress: c.String("sidecar"),
		Zone: c.String("zone"), Rack: c.String("rack"), Slots: c.Int("slots"),
		Log: func(event, format string, args ...any) {
			fmt.Fprintf(s.Err, "cardamomturnd: "+event+": "+format+"\n", args...)
		},
	}
	if c.Bool("events") {
		cfg.OnTaskEvent = (&eventPrinter{out: s.Out}).print
	}
	b, err := backend.New(cfg)
	if err != nil {
		return err
	}
	if !c.Bool("events") {
		fmt.Fprintf(s.Out, "sample backend server %s on %s\n", cfg.Name, b.Addr())
	}
	return serve(c.Context, b, settings.DefaultTiming())
}

// TaskEvent is the JSON line that sample-backend --events prints for the start and
// for the end of a task.
type TaskEvent struct {
	Backend    string `json:"backend"`
	Submission string `json:"submission"`
	Task       int    `json:"task"`
	// End is false at the start of the task and true at its end.
	End    bool `json:"end,omitempty"`
	Failed bool `json:"failed,omitempty"`
}

// eventPrinter prints one line per event. It writes each line with one call, so that
// a process that is killed leaves no partial line.
type eventPrinter struct {
	mu  sync.Mutex
	out io.Writer
}

func (p *eventPrinter) print(e backend.TaskEvent) {
	line, err := json.Marshal(TaskEvent{Backend: e.Backend, Submission: e.Submission, Task: e.Task, End: e.End, Failed: e.Failed})
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	_, _ = p.out.Write(append(line, '\n'))
}
