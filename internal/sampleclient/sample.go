// Package sampleclient runs the sample of the standalone role: it applies a
// configuration and submits jobs through the HTTP APIs, as other clients do.
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

// Team, kind and backend service of the sample.
const (
	Team    = "sample-team"
	Kind    = "sample-check"
	Service = "sample"
)

const (
	// smallJobs is the number of jobs with one task, whose response times are measured.
	smallJobs = 100
	// progressInterval is the number of completed tasks between two progress lines.
	progressInterval = 66
	// retryInterval is the time between two attempts to apply a resource.
	retryInterval = 50 * time.Millisecond
)

// sampleResources is the configuration of the sample, in the input format of the apply
// command.
//
//go:embed sample.json
var sampleResources []byte

// Options hold the options of the sample.
type Options struct {
	// Caller and Operator are the addresses of the APIs for callers and operators.
	Caller   string
	Operator string
	// Out receives the report.
	Out io.Writer
	// Timeout bounds the whole sample.
	Timeout time.Duration
	// RunMs is the time that each task sleeps, in milliseconds.
	RunMs int
}

// Payload is the payload of a sample task. The sample backend server sleeps for
// SleepMs milliseconds and returns the payload, whose Echo identifies the task.
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
	if err := applyResources(ctx, client, time.Now().Add(o.Timeout)); err != nil {
		return err
	}
	fmt.Fprintf(o.Out, "configuration in force, caller API on %s, operator API on %s\n", o.Caller, o.Operator)
	hists := newHistograms()
	if err := o.runLargeJob(client, hists); err != nil {
		return err
	}
	for i := range smallJobs {
		if ctx.Err() != nil {
			return errors.Trace(ctx.Err())
		}
		if err := o.runSmallJob(client, hists); err != nil {
			return errors.Annotatef(err, "small job %d", i)
		}
	}
	hists.print(o.Out)
	return nil
}

// applyResources applies the resources and waits until they are in force. It retries
// while the operator API is unavailable, because the first calls may arrive before the
// entry instance has read its configuration.
func applyResources(ctx context.Context, client *ctl.Client, deadline time.Time) error {
	resources, err := Resources()
	if err != nil {
		return errors.Annotate(err, "sample configuration")
	}
	applied := make([]ctl.Envelope, 0, len(resources))
	for len(applied) < len(resources) {
		// allowDecrease is true, because a new limit counts as a decrease from
		// unlimited.
		e, err := client.Apply(resources[len(applied)], true)
		switch {
		case err == nil:
			applied = append(applied, e)
		case !ctl.Unavailable(err) || ctx.Err() != nil || time.Now().After(deadline):
			return errors.Annotatef(err, "applying %s/%s", resources[len(applied)].Type, resources[len(applied)].Metadata.Name)
		default:
			time.Sleep(retryInterval)
		}
	}
	return errors.Annotate(client.WaitInForce(applied), "waiting for the sample configuration")
}

// runLargeJob submits the job of the largest size and prints its progress and result.
func (o Options) runLargeJob(client *ctl.Client, hists *histograms) error {
	nextProgress := progressInterval
	answer, took, err := o.submit(client, jobapi.MaxTasks, func(done int) {
		if done >= nextProgress {
			fmt.Fprintf(o.Out, "progress: %d of %d tasks\n", done, jobapi.MaxTasks)
			nextProgress = done - done%progressInterval + progressInterval
		}
	})
	if err != nil {
		return errors.Annotate(err, "large job")
	}
	fmt.Fprintf(o.Out, "job %s: %s, %d of %d tasks with their results, in %v\n",
		answer.SubmissionID, answer.State, len(answer.Tasks), jobapi.MaxTasks, took.Round(time.Millisecond))
	printSummary(o.Out, answer)
	hists.recordLargeJob(answer)
	return nil
}

// runSmallJob submits a job with one task and records the response time.
func (o Options) runSmallJob(client *ctl.Client, hists *histograms) error {
	_, took, err := o.submit(client, 1, nil)
	hists.recordSmallJob(took)
	return err
}

// submit submits one job and checks its answer.
func (o Options) submit(client *ctl.Client, tasks int, progress func(int)) (*jobapi.JobAnswer, time.Duration, error) {
	id, err := client.NewSubmissionID()
	if err != nil {
		return nil, 0, err
	}
	req := &jobapi.JobRequest{SubmissionID: id, Team: Team, Kind: Kind, Tasks: make([]jobapi.TaskRequest, tasks)}
	for i := range req.Tasks {
		if req.Tasks[i].Payload, err = json.Marshal(Payload{Echo: i, SleepMs: o.RunMs}); err != nil {
			return nil, 0, errors.Annotate(err, "encoding payload")
		}
	}
	start := time.Now()
	answer, err := client.Submit(req, progress)
	took := time.Since(start)
	if err != nil {
		return nil, took, err
	}
	return answer, took, CheckAnswer(req, answer)
}

// CheckAnswer returns nil if the answer belongs to the request, the job is complete, and
// each task is completed with its own result. Errors satisfy errors.IsNotValid.
func CheckAnswer(req *jobapi.JobRequest, a *jobapi.JobAnswer) error {
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
