package event

// Events of the area jobs and runs.
var (
	JobAnswered = &Event{
		Number: 8001, Severity: Info, Name: "job answered",
		Meaning: "An admitted job has its final answer: completed, failed, unfinished, or refused if no task has run. The line holds the data that decided the answer; `returns` counts the runs of the job that were rejected at once for lack of capacity.",
		Action:  "For an unfinished job, look up its id on the named worker.",
	}
	JobRefused = &Event{
		Number: 8002, Severity: Info, Name: "job refused",
		Meaning: "A job was refused; no task of the job has run or will run. For the reason `already under way`, an earlier job with the same id has not ended; its tasks may have run. For the reason `workers crash under a task`, the tasks of an earlier submission have run; the state is failed after three certain crashes under a task, and unfinished before.",
		Action:  "For the reason overload, check the queued work of the service; for other reasons, check the request.",
	}
	RunEndedBadly = &Event{
		Number: 8003, Severity: Info, Name: "run ended badly",
		Meaning: "A run ended with an outcome other than done, and the sidecar reports the outcome to the owner. Runs that were rejected at once for lack of capacity are only counted (`runs_ended`, outcome `no room`).",
		Action:  "If most of these events name one worker, inspect its backend server.",
	}
	OwnerLost = &Event{
		Number: 8004, Severity: Warning, Name: "owner lost",
		Meaning: "An entry instance refuses connections, does not answer heartbeats or can't deliver its stops (`reason`); the sidecar stops the runs of that instance.",
		Action:  "Check that entry instance and the network between the instance and the sidecar.",
	}
	OwnerInContact = &Event{
		Number: 8005, Severity: Info, Name: "owner in contact",
		Meaning: "An entry instance answers heartbeats; the sidecar accepts its runs.",
		Action:  "None.",
	}
	WorkerChanged = &Event{
		Number: 8006, Severity: Info, Name: "worker changed",
		Meaning: "The worker announced itself, restarted, started or ended draining, or left.",
		Action:  "None.",
	}
	WorkerAvailabilityChanged = &Event{
		Number: 8007, Severity: Info, Name: "worker open or closed",
		Meaning: "The sidecar started or stopped accepting runs; the line tells whether the sidecar (`closing`) or the worker (`draining`) is draining, and whether the zone is under evacuation (`evacuated`).",
		Action:  "If a worker stays closed, inspect its backend server.",
	}
	OrderUnanswered = &Event{
		Number: 8008, Severity: Warning, Name: "order unanswered",
		Meaning: "The worker did not answer a start, stop or status (`look`) request; the sidecar keeps the capacity reserved until the outcome is known.",
		Action:  "If this event repeats, inspect the worker's backend server.",
	}
	RunnerInContact = &Event{
		Number: 8009, Severity: Info, Name: "runner in contact",
		Meaning: "A sidecar sends heartbeats to this entry instance.",
		Action:  "None.",
	}
	RunnerLost = &Event{
		Number: 8010, Severity: Warning, Name: "runner lost",
		Meaning: "A sidecar answers no batches and sends no heartbeats; the entry instance sends it no work.",
		Action:  "Check that sidecar and the network between the sidecar and the entry instance.",
	}
	BatchRefused = &Event{
		Number: 8011, Severity: Warning, Name: "batch refused",
		Meaning: "A sidecar started no run of a batch because the batch was addressed to an earlier incarnation or session, or (stale) was delayed for too long; the entry instance places the tasks again.",
		Action:  "None; expected after restarts and network interruptions.",
	}
	ReadinessChanged = &Event{
		Number: 8012, Severity: Info, Name: "readiness changed",
		Meaning: "The entry instance changed the readiness that it reports to the load balancer.",
		Action:  "None.",
	}
	ReportMalformed = &Event{
		Number: 8013, Severity: Warning, Name: "report malformed",
		Meaning: "A worker's report is unreadable or lacks fields; the sidecar ignores the report.",
		Action:  "Find the sender.",
	}
	EntryDetached = &Event{
		Number: 8014, Severity: Info, Name: "entry detached",
		Meaning: "A sidecar has detached from an entry instance, because it has chosen others (`no longer chosen`) or because that one has not answered for a minute (`no answer`). It sends no more heartbeats to that instance and takes no more runs from it.",
		Action:  "If an entry instance that runs is detached because it has not answered, check the network between the two.",
	}
	// RunStopped and PauseNoticed date what happened to runs during faults.
	RunStopped = &Event{
		Number: 8015, Severity: Info, Name: "run stopped",
		Meaning: "A run whose stop was ordered is no longer active. `ranMs` is the time from its start to the order, `settlingMs` that from the order to the known end, and `confirmed` tells whether the worker confirmed the stop call.",
		Action:  "If `settlingMs` is above 300, the worker answered no stop call for that time; look for E8008 of the same worker.",
	}
	PauseNoticed = &Event{
		Number: 8016, Severity: Warning, Name: "pause noticed",
		Meaning: "The process did nothing for `pausedMs`, although a step was due, because it or its machine was paused or had no processor time.",
		Action:  "Look for the cause of the pause: the processor share, a suspended machine.",
	}
	HeartbeatIgnored = &Event{
		Number: 8017, Severity: Info, Name: "heartbeat ignored",
		Meaning: "An entry instance ignored a heartbeat because a later process or session of the sidecar is known.",
		Action:  "None after a pause or a network interruption; otherwise check that no two sidecars have one instance name.",
	}
	ReportIgnored = &Event{
		Number: 8018, Severity: Info, Name: "report ignored",
		Meaning: "A message about runs or a worker was ignored because it is of an earlier state: an entry instance got a report of an earlier session of a sidecar or one that it had handled before, or a sidecar a report or deregistration of an earlier process of its worker, or a report of another writer that the worker's own answers don't bear out (`reason`).",
		Action:  "None after a restart, a pause or a network interruption; otherwise find the sender of the report by `worker`, `address` and `service`, and check the clocks of the worker's machine.",
	}
	WorkerCrashed = &Event{
		Number: 8019, Severity: Warning, Name: "worker crashed",
		Meaning: "A worker process exited although it had not said that it would. `tasks` names the runs that were at work there, each as job/step/task#attempt, and `uncertainTasks` those of which that is not known; one of them may be the cause. A second line with the same `born` names runs whose start was in flight.",
		Action:  "Look for a task that several of these events name: `cardamomctl trace` with the id of its job. If none is named twice, inspect the backend server.",
	}
	CrashLearned = &Event{
		Number: 8020, Severity: Info, Name: "crash learned",
		Meaning: "An entry instance heard of the crash of a worker process, from its sidecar, from the end of a run or from another entry instance, and remembers the tasks that were or may have been at work there.",
		Action:  "None; E8019 of the sidecar names the tasks.",
	}
	StopsUndelivered = &Event{
		Number: 8021, Severity: Warning, Name: "stops undelivered",
		Meaning: "An entry instance can't deliver stops to a sidecar, although that one is in contact by its own connections. It asks the sidecar to stop all its runs there and to begin a new session.",
		Action:  "Check the path from the entry instance to the internal port of the sidecar; E8004 of the sidecar names the runs.",
	}
	WorkerDescribed = &Event{
		Number: 8022, Severity: Info, Name: "worker described",
		Meaning: "An entry instance heard from a sidecar which worker process it has, with its service, rack and labels, for the first time or because that has changed. From now on it chooses tasks for the worker by this description.",
		Action:  "None.",
	}
	JobCanceled = &Event{
		Number: 8023, Severity: Info, Name: "job canceled",
		Meaning: "A caller has canceled a job at this entry instance. If the job was not under way here, the instance has asked the others; `canceled` is false if all have answered that it is not under way there either.",
		Action:  "None.",
	}
	RackWaitEnded = &Event{
		Number: 8024, Severity: Info, Name: "rack wait ended",
		Meaning: "The wait of a task for room on its preferred rack has ended after `waitedMs`. `outcome` tells what came of it: the task ran there and ended `gainedMs` earlier than expected on another rack when the wait began (`paid`) or not (`not paid`, zero or negative), it was placed elsewhere (`moved on`), or its job was answered first (`job ended`).",
		Action:  "None. If few waits of a rack pay, the rack is too small for the data on it: move data, or compare `remoteFactor` with measured run times.",
	}
)

var jobEvents = []*Event{
	JobAnswered, JobRefused, RunEndedBadly, OwnerLost, OwnerInContact, WorkerChanged, WorkerAvailabilityChanged, OrderUnanswered,
	RunnerInContact, RunnerLost, BatchRefused, ReadinessChanged, ReportMalformed, EntryDetached,
	RunStopped, PauseNoticed, HeartbeatIgnored, ReportIgnored, WorkerCrashed, CrashLearned, StopsUndelivered, WorkerDescribed, JobCanceled, RackWaitEnded,
}
