package event

// Events of the area config.
var (
	ConfigInForce = &Event{
		Number: 3001, Severity: Info, Name: "configuration in force",
		Meaning: "This process uses a new configuration revision.",
		Action:  "None.",
	}
	ConfigRejected = &Event{
		Number: 3002, Severity: Error, Name: "configuration rejected",
		Meaning: "A configuration revision is invalid or unreadable; the previous revision stays in use.",
		Action:  "Correct the resource; see the condition Rejected in its status.",
	}
	ConfigPulled = &Event{
		Number: 3003, Severity: Info, Name: "configuration pulled from peer",
		Meaning: "This process pulled a newer configuration revision from a peer.",
		Action:  "None.",
	}
	ConfigAccepted = &Event{
		Number: 3005, Severity: Info, Name: "change accepted",
		Meaning: "The store accepted an operator's change.",
		Action:  "None.",
	}
	ConfigConflict = &Event{
		Number: 3006, Severity: Info, Name: "change conflicts",
		Meaning: "A change named an outdated resourceVersion and was refused.",
		Action:  "The operator reads the resource again and repeats the edit.",
	}
	ConfigOutcomeUnknown = &Event{
		Number: 3007, Severity: Error, Name: "change outcome unknown",
		Meaning: "The store did not confirm a change, and reading the resource back failed.",
		Action:  "The operator reads the resource before repeating the edit.",
	}
	ConfigControllerFault = &Event{
		Number: 3009, Severity: Warning, Name: "configuration controller",
		Meaning: "The configuration controller encountered a fault of the store or of a document and continues to run.",
		Action:  "See the detail; check the platform's store if this event repeats.",
	}
	QueueRejected = &Event{
		Number: 3010, Severity: Error, Name: "queue rejected",
		Meaning: "A queue of a configuration is unreadable or lacks what is needed to serve it; it is left out, and the other queues of the configuration come into force.",
		Action:  "Correct the queue that `err` names.",
	}
	EvacuationInForce = &Event{
		Number: 3011, Severity: Info, Name: "evacuation in force",
		Meaning: "This process knows which availability zones are under evacuation (`zones`, none at the first time without a request), as of a revision of the store. An entry instance chooses no workers there; a sidecar there returns its queued runs and accepts none (E8007).",
		Action:  "None; a process without this line for a request's revision has not heard of it.",
	}
	EvacuationEnded = &Event{
		Number: 3012, Severity: Info, Name: "evacuation taken back",
		Meaning: "The named availability zones are no longer under evacuation for this process. Each of their sidecars that has carried out the evacuation uses a growing part of its worker's capacity for a few seconds.",
		Action:  "None.",
	}
	EvacuationIncomplete = &Event{
		Number: 3013, Severity: Error, Name: "evacuation request ignored",
		Meaning: "The store holds requests to evacuate more availability zones than are supported, or one whose name is empty or too long; those beyond the bounds have no effect.",
		Action:  "Correct the keys of the requests.",
	}
)

var configEvents = []*Event{ConfigInForce, ConfigRejected, ConfigPulled, ConfigAccepted, ConfigConflict, ConfigOutcomeUnknown, ConfigControllerFault, QueueRejected, EvacuationInForce, EvacuationEnded, EvacuationIncomplete}
