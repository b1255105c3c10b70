package ctl

import (
	"encoding/json"
	"fmt"

	"github.com/valyala/fasthttp"

	"github.com/cardamomturn/cardamomturn/internal/jobapi"
)

// decodeAnswer decodes the job answer in a response of the Job API. If the body
// holds no job answer, the error is that of the status. The statuses 404 and 409
// are errors also with a job answer.
func decodeAnswer(operation string, res *response) (*jobapi.JobAnswer, error) {
	var a jobapi.JobAnswer
	if json.Unmarshal(res.Body, &a) != nil || a.State == "" {
		return nil, statusError(operation, res)
	}
	if res.Status == fasthttp.StatusNotFound {
		return nil, exitErrorf(ExitError, "%s: %s: %s", operation, a.Reason, a.Message)
	}
	if res.Status == fasthttp.StatusConflict {
		return nil, exitErrorf(ExitConflict, "%s: %s: another job has this ID: %s", operation, a.Reason, a.Message)
	}
	return &a, nil
}

// jobError returns an error with an exit code if the job was refused or failed,
// and nil otherwise.
func jobError(a *jobapi.JobAnswer) error {
	switch {
	case a.State == jobapi.JobComplete || !a.State.Final():
		return nil
	case a.State == jobapi.JobRefused && a.NotRun:
		return exitErrorf(ExitRefused, "job refused, not run: %s", reasonText(a))
	case a.State == jobapi.JobRefused || hasUnknownOutcome(a):
		return exitErrorf(ExitUnknown, "job failed, some outcomes are unknown: %s", reasonText(a))
	}
	return exitErrorf(ExitJobFailed, "job failed: %s", reasonText(a))
}

// hasUnknownOutcome reports whether the answer leaves open for some task whether
// it ran.
func hasUnknownOutcome(a *jobapi.JobAnswer) bool {
	if a.Reason == jobapi.ReasonSubmissionExpired || a.Reason == jobapi.ReasonOutcomeUnknown {
		return true
	}
	return countTaskStates(a)[jobapi.TaskMayHaveRun] > 0
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

func countTaskStates(a *jobapi.JobAnswer) map[jobapi.TaskState]int {
	n := map[jobapi.TaskState]int{}
	for _, t := range a.Tasks {
		n[t.State]++
	}
	return n
}

// maxTaskRows is the largest number of tasks that the table shows.
const maxTaskRows = 20

func (p *program) printAnswer(a *jobapi.JobAnswer) error {
	if p.output == outputJSON {
		return p.printJSON(a)
	}
	fmt.Fprintf(p.Out, "submission %s: %s", a.SubmissionID, a.State)
	if len(a.Tasks) > 0 {
		fmt.Fprintf(p.Out, ", %d of %d tasks completed", countTaskStates(a)[jobapi.TaskCompleted], len(a.Tasks))
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
		rows = append(rows, []string{fmt.Sprint(i), string(t.State), t.Worker, formatMs(float64(t.RunMs)), text})
	}
	return p.printTable(rows)
}
