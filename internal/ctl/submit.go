package ctl

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/juju/errors"
	"github.com/schollz/progressbar/v3"
	"github.com/urfave/cli/v2"
	"golang.org/x/term"

	"github.com/cardamomturn/cardamomturn/internal/jobapi"
)

func (p *program) submitCommand() *cli.Command {
	return &cli.Command{
		Name:      "submit",
		Usage:     "submit a job and wait for its answer",
		UsageText: "cardamomctl submit FILE\ncardamomctl submit --team TEAM --kind KIND [--tasks N] [--payload JSON]",
		Description: "FILE holds a job request of the Job API; \"-\" reads standard input. After a\n" +
			"lost connection the command retries with the same submission ID, which it prints\n" +
			"on standard error first. " + exitCodesHelp,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "team", Usage: "`TEAM` that the job is for"},
			&cli.StringFlag{Name: "kind", Usage: "`KIND` of work"},
			&cli.IntFlag{Name: "tasks", Usage: "number of tasks", Value: 1},
			&cli.StringFlag{Name: "payload", Usage: "`JSON` payload of every task"},
			&cli.StringFlag{Name: "id", Usage: "submission `ID`; the default is a new one"},
			&cli.Int64Flag{Name: "deadline-ms", Usage: "deadline in milliseconds"},
		},
		Action: p.submit,
	}
}

func (p *program) submit(c *cli.Context) error {
	req, err := p.jobRequest(c)
	if err != nil {
		return err
	}
	if n := len(req.Tasks); n < 1 || n > jobapi.MaxTasks {
		return usageErrorf("%d tasks: want 1 to %d", n, jobapi.MaxTasks)
	}
	cl := p.newClient()
	if req.SubmissionID == "" {
		if req.SubmissionID, err = cl.NewSubmissionID(); err != nil {
			return err
		}
	}
	fmt.Fprintf(p.Err, "submission %s\n", req.SubmissionID)
	var progress func(int)
	if bar := p.newProgressBar(len(req.Tasks)); bar != nil {
		progress = func(done int) { _ = bar.Set(done) }
		defer func() { _ = bar.Finish() }()
	}
	answer, err := cl.Submit(req, progress)
	if err != nil {
		return err
	}
	if err := p.printAnswer(answer); err != nil {
		return err
	}
	return jobError(answer)
}

func (p *program) jobRequest(c *cli.Context) (*jobapi.JobRequest, error) {
	req := &jobapi.JobRequest{}
	switch c.NArg() {
	case 0:
		if c.String("team") == "" || c.String("kind") == "" {
			return nil, usageErrorf("submit needs FILE, or --team and --kind")
		}
		payload := json.RawMessage(c.String("payload"))
		if len(payload) > 0 && !json.Valid(payload) {
			return nil, usageErrorf("payload is not JSON")
		}
		req.Tasks = make([]jobapi.TaskRequest, min(max(c.Int("tasks"), 0), jobapi.MaxTasks+1))
		for i := range req.Tasks {
			req.Tasks[i].Payload = payload
		}
	case 1:
		if c.IsSet("tasks") || c.IsSet("payload") {
			return nil, usageErrorf("--tasks and --payload can't be combined with FILE")
		}
		data, err := readInput(c.Args().First(), p.In)
		if err != nil {
			return nil, err
		}
		if err := decodeStrict(data, req); err != nil {
			return nil, errors.Annotatef(err, "job file %s", c.Args().First())
		}
	default:
		return nil, usageErrorf("submit needs at most one FILE")
	}
	setIfNotEmpty(&req.Team, c.String("team"))
	setIfNotEmpty(&req.Kind, c.String("kind"))
	setIfNotEmpty(&req.SubmissionID, c.String("id"))
	if c.IsSet("deadline-ms") {
		req.DeadlineMs = c.Int64("deadline-ms")
	}
	return req, nil
}

// setIfNotEmpty overrides the target with the value of a flag that is set.
func setIfNotEmpty(target *string, value string) {
	if value != "" {
		*target = value
	}
}

// newProgressBar returns a progress bar on standard error, or nil if standard
// error is not a terminal.
func (p *program) newProgressBar(tasks int) *progressbar.ProgressBar {
	f, ok := p.Err.(*os.File)
	if !ok || !term.IsTerminal(int(f.Fd())) {
		return nil
	}
	return progressbar.NewOptions(tasks, progressbar.OptionSetWriter(f), progressbar.OptionSetDescription("tasks"),
		progressbar.OptionShowCount(), progressbar.OptionClearOnFinish())
}
