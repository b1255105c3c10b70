package event

// Events of the area entry.
var (
	EntryStarted = &Event{
		Number: 1001, Severity: Info, Name: "entry started",
		Meaning: "The entry instance serves its ports.",
		Action:  "None.",
	}
	EntryStopped = &Event{
		Number: 1002, Severity: Info, Name: "entry stopped",
		Meaning: "The entry instance has ended its graceful shutdown.",
		Action:  "None.",
	}
	EntryDraining = &Event{
		Number: 1003, Severity: Info, Name: "entry draining",
		Meaning: "The instance refuses new jobs and finishes those it has.",
		Action:  "None; it stops when its jobs are answered.",
	}
	EntryDrainTimeout = &Event{
		Number: 1004, Severity: Warning, Name: "entry drain timed out",
		Meaning: "The shutdown bound passed with jobs unanswered; they were answered with what is known.",
		Action:  "Raise shutdownTimeout if jobs regularly last longer.",
	}
	EntryFenced = &Event{
		Number: 1005, Severity: Error, Name: "entry incarnation fenced",
		Meaning: "Others declared this incarnation dead. It answered its jobs with the state it has and continues as a new incarnation.",
		Action:  "Look for pauses of the machine or a network fault between this instance and its sidecars.",
	}
	EntryLoopGap = &Event{
		Number: 1006, Severity: Error, Name: "core loop paused",
		Meaning: "The core loop did not run for more than 2 s. The incarnation ended itself.",
		Action:  "Look for a paused virtual machine, swapping or a lack of processor time.",
	}
	EntrySelfLeaseLost = &Event{
		Number: 1007, Severity: Warning, Name: "self-lease lost",
		Meaning: "Fewer than half of the attached sidecars acknowledged heartbeats; dispatching is suspended and jobs queue.",
		Action:  "Check the network if it does not return within seconds.",
	}
	EntrySelfLeaseRegained = &Event{
		Number: 1008, Severity: Info, Name: "self-lease regained",
		Meaning: "More than half of the attached sidecars acknowledge heartbeats; dispatching continues.",
		Action:  "None.",
	}
	EntryOwnerDead = &Event{
		Number: 1009, Severity: Warning, Name: "owner declared dead",
		Meaning: "Another entry incarnation sent no heartbeat for deadAfter; sidecars are told to fence it.",
		Action:  "Replace the instance if the platform does not.",
	}
	EntryRecoveryDone = &Event{
		Number: 1010, Severity: Info, Name: "submission recovered",
		Meaning: "The outcome of a dead owner's submission was read from the sidecars' ledgers.",
		Action:  "None.",
	}
	EntryRecoveryIncomplete = &Event{
		Number: 1011, Severity: Warning, Name: "submission recovered in part",
		Meaning: "Not all sidecars that the dead owner could have used answered; tasks not found are reported as mayHaveRun.",
		Action:  "None; callers see the unknown outcomes.",
	}
	EntryDispatchUnknown = &Event{
		Number: 1012, Severity: Warning, Name: "dispatch reply lost",
		Meaning: "A dispatch call failed after it was sent; its credits are being fenced.",
		Action:  "Check the sidecar named if this repeats.",
	}
	EntryWorkerEjected = &Event{
		Number: 1013, Severity: Warning, Name: "worker ejected",
		Meaning: "A worker fails far more tasks than the fleet and is not used for a while, except for probes.",
		Action:  "Inspect the worker's backend server.",
	}
	EntryWorkerReadmitted = &Event{
		Number: 1014, Severity: Info, Name: "worker readmitted",
		Meaning: "A probe task succeeded; the worker is used again.",
		Action:  "None.",
	}
	EntryRetryBudgetSpent = &Event{
		Number: 1015, Severity: Warning, Name: "retry budget spent",
		Meaning: "Tasks proved not started exceed the retry budget and were not retried.",
		Action:  "Look for an outage of many workers.",
	}
	EntryRestarted = &Event{
		Number: 1018, Severity: Warning, Name: "incarnation ended",
		Meaning: "The process answered its jobs with what it knows and goes on as a new incarnation.",
		Action:  "See the event before this one for the cause.",
	}
)

var entryEvents = []*Event{EntryStarted, EntryStopped, EntryDraining, EntryDrainTimeout, EntryFenced, EntryLoopGap, EntrySelfLeaseLost, EntrySelfLeaseRegained, EntryOwnerDead, EntryRecoveryDone, EntryRecoveryIncomplete, EntryDispatchUnknown, EntryWorkerEjected, EntryWorkerReadmitted, EntryRetryBudgetSpent, EntryRestarted}
