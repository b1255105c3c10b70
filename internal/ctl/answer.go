package ctl

import (
	"encoding/json"
	"fmt"

	"github.com/valyala/fasthttp"

	"github.com/cardamomturn/cardamomturn/internal/jobapi"
)

// decodeAnswer returns the job answer in a response of the Job API; a body
// that is none becomes an error of the status.
func decodeAnswer(step string, res *response) (*jobapi.JobAnswer, error) {
	var a jobapi.JobAnswer
	if json.Unmarshal(res.Body, &a) != nil || a.State == "" {
		return nil, statusError(step, res)
	}
	if res.Status == fasthttp.StatusNotFound {
		return nil, fail(ExitError, "%s: %s: %s", step, a.Reason, a.Message)
	}
	if res.Status == fasthttp.StatusConflict {
		return nil, fail(ExitConflict, "%s: %s: another job has this ID: %s", step, a.Reason, a.Message)
	}
	return &a, nil
}

// outcome returns the error of a job that is not complete, with its exit code.
func outcome(a *jobapi.JobAnswer) error {
	switch {
	case a.State == jobapi.JobComplete || !a.State.Final():
		return nil
	case a.State == jobapi.JobRefused && a.NotRun:
		return fail(ExitRefused, "job refused, not run: %s", reasonText(a))
	case a.State == jobapi.JobRefused || unknown(a):
		return fail(ExitUnknown, "job failed, some outcomes are unknown: %s", reasonText(a))
	}
	return fail(ExitJobFailed, "job failed: %s", reasonText(a))
}

func unknown(a *jobapi.JobAnswer) bool {
	if a.Reason == jobapi.ReasonSubmissionExpired || a.Reason == jobapi.ReasonOutcomeUnknown {
		return true
	}
	return countStates(a)[jobapi.TaskMayHaveRun] > 0
}

func reasonText(a *jobapi.JobAnswer) string {
	text := string(a.Reason)
	if a.Message != "" {
		text += ": " + a.Message
	}
	if a.RetryAfterMs > 0 {
		text += fmt.Sprintf(" (retry after %d ms)", a.RetryAfterMs)
	}
	if a.SafeToResubmit {
		text += " (safe to submit again)"
	}
	return text
}

func countStates(a *jobapi.JobAnswer) map[jobapi.TaskState]int {
	n := map[jobapi.TaskState]int{}
	for _, t := range a.Tasks {
		n[t.State]++
	}
	return n
}

// maxTaskRows bounds the tasks that the table shows.
const maxTaskRows = 20

func (p *program) printAnswer(a *jobapi.JobAnswer) error {
	if p.output == outputJSON {
		return p.printJSON(a)
	}
	fmt.Fprintf(p.Out, "submission %s: %s", a.SubmissionID, a.State)
	if len(a.Tasks) > 0 {
		fmt.Fprintf(p.Out, ", %d of %d tasks completed", countStates(a)[jobapi.TaskCompleted], len(a.Tasks))
	}
	fmt.Fprintln(p.Out)
	if len(a.Tasks) == 0 {
		return nil
	}
	rows := [][]string{{"TASK", "STATE", "WORKER", "RUN", "RESULT"}}
	for i, t := range a.Tasks {
		if i == maxTaskRows {
			rows = append(rows, []string{"...", fmt.Sprintf("%d more; -o json shows all", len(a.Tasks)-i)})
			break
		}
		text := t.Error
		if text == "" {
			text = string(t.Result)
		}
		if len(text) > 60 {
			text = text[:60] + "..."
		}
		rows = append(rows, []string{fmt.Sprint(i), string(t.State), t.Worker, ms(float64(t.RunMs)), text})
	}
	return p.table(rows)
}
