package event

// Events of the area sidecar.
var (
	SidecarStarted = &Event{
		Number: 2001, Severity: Info, Name: "sidecar started",
		Meaning: "The sidecar accepts connections on its ports.",
		Action:  "None.",
	}
	SidecarStopped = &Event{
		Number: 2002, Severity: Info, Name: "sidecar stopped",
		Meaning: "The sidecar completed its graceful shutdown.",
		Action:  "None.",
	}
	SidecarDraining = &Event{
		Number: 2003, Severity: Info, Name: "sidecar draining",
		Meaning: "A drain of the sidecar started or ended (`drain` in the detail). During a drain, the sidecar grants no credits and finishes its running tasks.",
		Action:  "None.",
	}
	SidecarDrainTimeout = &Event{
		Number: 2004, Severity: Warning, Name: "sidecar drain timed out",
		Meaning: "The shutdown time limit expired with tasks running, whose outcome is mayHaveRun, or the sidecar dropped results that it could not deliver to their owner; see the detail.",
		Action:  "For running tasks, raise shutdownTimeout above the run time of the longest task; for dropped results, check the named owner.",
	}
	BackendAnnounced = &Event{
		Number: 2005, Severity: Info, Name: "backend server announced",
		Meaning: "A backend server announced itself or changed its announced data.",
		Action:  "None.",
	}
	BackendLeaving = &Event{
		Number: 2006, Severity: Info, Name: "backend server leaving",
		Meaning: "The backend server asked for no more work; the sidecar recalls the credits.",
		Action:  "None.",
	}
	BackendLeaseExpired = &Event{
		Number: 2007, Severity: Warning, Name: "backend server lease expired",
		Meaning: "The backend server did not renew its announcement; the sidecar starts no new work on it.",
		Action:  "Check the backend server's process.",
	}
	BackendRefused = &Event{
		Number: 2008, Severity: Warning, Name: "backend server refused connection",
		Meaning: "The backend server refused a connection; the tasks return to the queues of their owners.",
		Action:  "Check the backend server's process.",
	}
	BackendBroken = &Event{
		Number: 2009, Severity: Warning, Name: "backend server connection broken",
		Meaning: "A connection to the backend server broke after the sidecar wrote the request, or the deadline of the task passed without a response; the task may have run.",
		Action:  "Check the backend server's log for a crash.",
	}
	OwnerFenced = &Event{
		Number: 2010, Severity: Warning, Name: "owner fenced",
		Meaning: "The sidecar fenced a dead entry incarnation, which can start no more tasks on this sidecar.",
		Action:  "None.",
	}
)

var sidecarEvents = []*Event{SidecarStarted, SidecarStopped, SidecarDraining, SidecarDrainTimeout, BackendAnnounced, BackendLeaving, BackendLeaseExpired, BackendRefused, BackendBroken, OwnerFenced}
