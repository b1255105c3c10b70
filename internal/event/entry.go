package event

// Events of the area entry.
var (
	EntryStarted = &Event{
		Number: 1001, Severity: Info, Name: "entry started",
		Meaning: "The entry instance accepts connections on its ports.",
		Action:  "None.",
	}
	EntryStopped = &Event{
		Number: 1002, Severity: Info, Name: "entry stopped",
		Meaning: "The entry instance completed its graceful shutdown.",
		Action:  "None.",
	}
	EntryDraining = &Event{
		Number: 1003, Severity: Info, Name: "entry draining",
		Meaning: "The entry instance reports that it is not ready, refuses new jobs at once or after a short delay, and finishes its admitted jobs.",
		Action:  "None; a shutdown completes when all jobs are answered.",
	}
	EntryDrainTimeout = &Event{
		Number: 1004, Severity: Warning, Name: "entry drain timed out",
		Meaning: "The shutdown time limit expired with jobs unanswered; the entry instance answered them with the task states known so far.",
		Action:  "Raise shutdownTimeout if jobs regularly take longer.",
	}
	EntryFenced = &Event{
		Number: 1005, Severity: Error, Name: "entry incarnation fenced",
		Meaning: "Another process declared this incarnation dead. The entry instance answered its jobs with the task states known so far and continues as a new incarnation.",
		Action:  "Check for pauses of the machine and for a network fault between this instance and its sidecars.",
	}
	EntryLoopPaused = &Event{
		Number: 1006, Severity: Error, Name: "core loop paused",
		Meaning: "The core loop did not run for more than selfLease (default 2 s), so the entry instance ended its incarnation.",
		Action:  "Check for a paused virtual machine, swapping or a lack of processor time.",
	}
	EntrySelfLeaseLost = &Event{
		Number: 1007, Severity: Warning, Name: "self-lease lost",
		Meaning: "Fewer than half of the attached sidecars acknowledged heartbeats; the entry instance suspends dispatching and queues jobs.",
		Action:  "Check the network if the self-lease is not regained within seconds.",
	}
	EntrySelfLeaseRegained = &Event{
		Number: 1008, Severity: Info, Name: "self-lease regained",
		Meaning: "At least half of the attached sidecars acknowledge heartbeats; the entry instance resumes dispatching.",
		Action:  "None.",
	}
	EntryOwnerDead = &Event{
		Number: 1009, Severity: Warning, Name: "owner declared dead",
		Meaning: "Another entry incarnation sent no heartbeat for deadAfter; this instance tells the sidecars to fence it.",
		Action:  "Replace the instance if the platform does not replace it.",
	}
	EntryRecoveryDone = &Event{
		Number: 1010, Severity: Info, Name: "submission recovered",
		Meaning: "The entry instance read the outcome of a dead owner's submission from the sidecars' ledgers.",
		Action:  "None.",
	}
	EntryRecoveryIncomplete = &Event{
		Number: 1011, Severity: Warning, Name: "submission recovered in part",
		Meaning: "Some sidecars that the dead owner could have used did not answer; the entry instance reports the tasks that it did not find as mayHaveRun.",
		Action:  "None; callers receive the unknown outcomes.",
	}
	EntryDispatchReplyLost = &Event{
		Number: 1012, Severity: Warning, Name: "dispatch reply lost",
		Meaning: "A dispatch call failed after it was sent; the entry instance fences its credits.",
		Action:  "Check the named sidecar if this event repeats.",
	}
	EntryWorkerEjected = &Event{
		Number: 1013, Severity: Warning, Name: "worker ejected",
		Meaning: "A worker fails far more tasks than the fleet; for a limited time it receives only probe tasks.",
		Action:  "Inspect the worker's backend server.",
	}
	EntryWorkerReadmitted = &Event{
		Number: 1014, Severity: Info, Name: "worker readmitted",
		Meaning: "A probe task succeeded; the worker receives tasks again.",
		Action:  "None.",
	}
	EntryRetryBudgetSpent = &Event{
		Number: 1015, Severity: Warning, Name: "retry budget spent",
		Meaning: "Tasks that provably did not start were not retried because they exceed the retry budget.",
		Action:  "Check for an outage of many workers.",
	}
	EntryIncarnationEnded = &Event{
		Number: 1018, Severity: Warning, Name: "incarnation ended",
		Meaning: "The entry instance answered its jobs with the task states known so far and continues as a new incarnation.",
		Action:  "See the preceding event for the cause.",
	}
)

var entryEvents = []*Event{EntryStarted, EntryStopped, EntryDraining, EntryDrainTimeout, EntryFenced, EntryLoopPaused, EntrySelfLeaseLost, EntrySelfLeaseRegained, EntryOwnerDead, EntryRecoveryDone, EntryRecoveryIncomplete, EntryDispatchReplyLost, EntryWorkerEjected, EntryWorkerReadmitted, EntryRetryBudgetSpent, EntryIncarnationEnded}
