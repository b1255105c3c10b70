// Package sampleclient drives the sample of the standalone role: it applies a
// configuration and submits jobs through the HTTP APIs, as any caller does.
package sampleclient

import (
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/ctl"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
)

// The team, kind and backend service of the sample.
const (
	Team    = "sample-team"
	Kind    = "sample-check"
	Service = "sample"
)

const (
	// smallJobs is the number of jobs of one task that are timed.
	smallJobs = 100
	// progressStep is the number of tasks between two progress lines.
	progressStep = 66
	// retryInterval is the time between two attempts to apply the sample.
	retryInterval = 50 * time.Millisecond
)

// sampleResources is the configuration of the sample, in the form of apply.
//
//go:embed sample.json
var sampleResources []byte

// Options say where the sample runs.
type Options struct {
	// Caller and Operator are the addresses of both APIs.
	Caller   string
	Operator string
	// Out gets the report.
	Out io.Writer
	// Timeout bounds the whole sample.
	Timeout time.Duration
	// RunMs is the time that each task sleeps, in milliseconds.
	RunMs int
}

// Payload is the payload of a sample task. The sample backend server sleeps
// and returns the echo.
type Payload struct {
	Echo    int `json:"echo"`
	SleepMs int `json:"sleepMs"`
}

// Resources returns the configuration of the sample.
func Resources() ([]ctl.Envelope, error) { return ctl.ParseEnvelopes(sampleResources) }

// Run applies the configuration, submits one job of the largest size and some
// small ones, checks the answers, and prints the times.
func Run(ctx context.Context, o Options) error {
	client := ctl.NewClient(o.Caller, o.Operator, o.Timeout)
	if err := configure(ctx, client, time.Now().Add(o.Timeout)); err != nil {
		return err
	}
	fmt.Fprintf(o.Out, "configuration in force, caller API on %s, operator API on %s\n", o.Caller, o.Operator)
	times := newTimes()
	if err := o.largeJob(client, times); err != nil {
		return err
	}
	for i := range smallJobs {
		if ctx.Err() != nil {
			return errors.Trace(ctx.Err())
		}
		if err := o.smallJob(client, times); err != nil {
			return errors.Annotatef(err, "small job %d", i)
		}
	}
	times.print(o.Out)
	return nil
}

// configure applies the resources until the operator API accepts them: the
// first calls may come before the entry instance has read its configuration.
func configure(ctx context.Context, client *ctl.Client, until time.Time) error {
	all, err := Resources()
	if err != nil {
		return errors.Annotate(err, "sample configuration")
	}
	applied := make([]ctl.Envelope, 0, len(all))
	for len(applied) < len(all) {
		// The sample's own limits are new and so lower what was unlimited.
		e, err := client.Apply(all[len(applied)], true)
		switch {
		case err == nil:
			applied = append(applied, e)
		case !ctl.Unavailable(err) || ctx.Err() != nil || time.Now().After(until):
			return errors.Annotatef(err, "applying %s/%s", all[len(applied)].Type, all[len(applied)].Metadata.Name)
		default:
			time.Sleep(retryInterval)
		}
	}
	return errors.Annotate(client.WaitInForce(applied), "waiting for the sample configuration")
}

func (o Options) largeJob(client *ctl.Client, times *times) error {
	next := progressStep
	answer, took, err := o.submit(client, jobapi.MaxTasks, func(done int) {
		if done >= next {
			fmt.Fprintf(o.Out, "progress: %d of %d tasks\n", done, jobapi.MaxTasks)
			next = done - done%progressStep + progressStep
		}
	})
	if err != nil {
		return errors.Annotate(err, "large job")
	}
	fmt.Fprintf(o.Out, "job %s: %s, %d of %d tasks with their results, in %v\n",
		answer.SubmissionID, answer.State, len(answer.Tasks), jobapi.MaxTasks, took.Round(time.Millisecond))
	summarise(o.Out, answer)
	times.largeJob(answer)
	return nil
}

func (o Options) smallJob(client *ctl.Client, times *times) error {
	_, took, err := o.submit(client, 1, nil)
	times.smallJob(took)
	return err
}

// submit submits one job and checks its answer.
func (o Options) submit(client *ctl.Client, tasks int, progress func(int)) (*jobapi.JobAnswer, time.Duration, error) {
	id, err := client.NewID()
	if err != nil {
		return nil, 0, err
	}
	req := &jobapi.JobRequest{SubmissionID: id, Team: Team, Kind: Kind, Tasks: make([]jobapi.TaskRequest, tasks)}
	for i := range req.Tasks {
		if req.Tasks[i].Payload, err = json.Marshal(Payload{Echo: i, SleepMs: o.RunMs}); err != nil {
			return nil, 0, errors.Annotate(err, "encoding payload")
		}
	}
	began := time.Now()
	answer, err := client.Submit(req, progress)
	took := time.Since(began)
	if err != nil {
		return nil, took, err
	}
	return answer, took, Check(req, answer)
}

// Check reports whether the answer is complete and belongs to the request: one
// completed task for each, with the result of that task. Errors satisfy
// errors.IsNotValid.
func Check(req *jobapi.JobRequest, a *jobapi.JobAnswer) error {
	if a.SubmissionID != req.SubmissionID {
		return errors.NotValidf("answer to submission %s in place of %s", a.SubmissionID, req.SubmissionID)
	}
	if a.State != jobapi.JobComplete {
		return errors.NotValidf("state %s (%s: %s)", a.State, a.Reason, a.Message)
	}
	if len(a.Tasks) != len(req.Tasks) {
		return errors.NotValidf("answer with %d of %d tasks", len(a.Tasks), len(req.Tasks))
	}
	for i, t := range a.Tasks {
		if t.State != jobapi.TaskCompleted {
			return errors.NotValidf("state %s of task %d (%s)", t.State, i, t.Error)
		}
		got := Payload{Echo: -1}
		if err := json.Unmarshal(t.Result, &got); err != nil || got.Echo != i {
			return errors.NotValidf("result %.200s of task %d", t.Result, i)
		}
	}
	return nil
}
