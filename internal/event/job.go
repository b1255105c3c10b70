package event

// Events of the area leased work.
var (
	JobAnswered = &Event{
		Number: 8001, Severity: Info, Name: "job answered",
		Meaning: "An admitted job has its final answer: completed, failed or unfinished, with the facts that decided it; `returns` counts its runs that found no room at once.",
		Action:  "For an unfinished job, look for its id at the worker named.",
	}
	JobRefused = &Event{
		Number: 8002, Severity: Info, Name: "job refused",
		Meaning: "A job was not accepted; nothing of it has run or will run.",
		Action:  "For the reason overload, look at the backlog of the service; for others at the request.",
	}
	RunEnded = &Event{
		Number: 8003, Severity: Info, Name: "run ended badly",
		Meaning: "A run ended otherwise than done; its owner has been told. Runs that found no room at once are only counted (`runs_ended`, outcome `no room`).",
		Action:  "If one worker has most of these, inspect its backend server.",
	}
	OwnerLost = &Event{
		Number: 8004, Severity: Warning, Name: "owner lost",
		Meaning: "An entry instance is gone or out of contact; the sidecar stops what it ran for it.",
		Action:  "Look at that entry instance and the network between the two.",
	}
	OwnerFound = &Event{
		Number: 8005, Severity: Info, Name: "owner in contact",
		Meaning: "An entry instance answers heartbeats; the sidecar takes its runs.",
		Action:  "None.",
	}
	WorkerChanged = &Event{
		Number: 8006, Severity: Info, Name: "worker changed",
		Meaning: "The worker announced itself, started again, drains or has left.",
		Action:  "None.",
	}
	WorkerOpen = &Event{
		Number: 8007, Severity: Info, Name: "worker open or closed",
		Meaning: "The sidecar began or ceased to take runs, for the reason named.",
		Action:  "If a worker stays closed, inspect its backend server.",
	}
	OrderUnanswered = &Event{
		Number: 8008, Severity: Warning, Name: "order unanswered",
		Meaning: "The worker did not answer a start, stop or look; the room stays held until the outcome is known.",
		Action:  "If it repeats, inspect the worker's backend server.",
	}
	RunnerFound = &Event{
		Number: 8009, Severity: Info, Name: "runner in contact",
		Meaning: "A sidecar sends heartbeats to this entry instance.",
		Action:  "None.",
	}
	RunnerLost = &Event{
		Number: 8010, Severity: Warning, Name: "runner lost",
		Meaning: "A sidecar sends no heartbeat or its process has ended; it gets no work.",
		Action:  "Look at that sidecar and the network between the two.",
	}
	BatchRefused = &Event{
		Number: 8011, Severity: Warning, Name: "batch refused",
		Meaning: "A sidecar carried nothing of a batch out, because it was addressed to an earlier life or contact; the tasks are placed again.",
		Action:  "None; expected after restarts and cuts.",
	}
	ReadyChanged = &Event{
		Number: 8012, Severity: Info, Name: "readiness changed",
		Meaning: "The entry instance tells the balancer otherwise than before whether it takes requests.",
		Action:  "None.",
	}
	ReportMalformed = &Event{
		Number: 8013, Severity: Warning, Name: "report malformed",
		Meaning: "A worker's report about itself can't be read or lacks fields; it is ignored.",
		Action:  "Find the sender.",
	}
)

var leaseEvents = []*Event{
	JobAnswered, JobRefused, RunEnded, OwnerLost, OwnerFound, WorkerChanged, WorkerOpen, OrderUnanswered,
	RunnerFound, RunnerLost, BatchRefused, ReadyChanged, ReportMalformed,
}
