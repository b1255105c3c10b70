package model

// guards are the rules that a test can take out, to show that the model finds the fault
// which the rule prevents.
type guards struct {
	// batchAge: a sidecar starts no run of a batch that is too old.
	// ownerTimeout: a sidecar stops the runs of a silent owner.
	// leftovers: a new sidecar process stops the runs of its predecessor first.
	// pause: an entry instance that was paused or cut off gives up its jobs.
	// leaseLimit: leases end a bounded time after the newest contact with the owners.
	// droppedLimit: that holds for dropped owners until their runs have ended.
	// callerCheck: an entry instance starts nothing for a caller that has left.
	batchAge, ownerTimeout, leftovers, pause, leaseLimit, droppedLimit, callerCheck bool
	// unanswered: a start call without an answer is voided before the run ends.
	// fencing: calls of an earlier sidecar process have no effect.
	// restart: a run that the next worker process may have is stopped there.
	// leaseExpiry: runs at a worker out of contact end when their leases have expired.
	// responsive: a sidecar whose batch was abandoned is used again.
	// superseded: an owner gives up a job of which it hears that another one has a later
	// submission.
	// lifeToken: calls to an earlier life of the worker have no effect at the next one.
	// needsLease: leases are extended only while a run is to go on.
	// startDelay: a sidecar makes no start call long after the decision.
	// processToken: a sidecar process raises its token above those of earlier ones, also if the
	// time of day was set back.
	// abandonedLimit: leases end a bounded time after an owner has given up a run whose stop the
	// worker has not confirmed.
	// refusal: a refused connection does not prove that a worker's runs have ended.
	// undelivered: a sidecar drops an owner that can't deliver its stops.
	// shortLease: leases are much shorter than the worker allows.
	// knownProcess: a run that no status has listed may be in a process that reads leases on
	// another clock.
	// description: a sidecar returns runs that were chosen by an earlier description of its worker.
	// connection: a start call reaches the worker process that it is meant for, or none.
	abandonedLimit, refusal, undelivered, shortLease, knownProcess, description, connection                            bool
	unanswered, fencing, restart, leaseExpiry, responsive, superseded, lifeToken, needsLease, startDelay, processToken bool
}

var allGuards = guards{
	abandonedLimit: true, refusal: true, undelivered: true, shortLease: true, knownProcess: true, description: true, connection: true,
	batchAge: true, ownerTimeout: true, leftovers: true, pause: true, leaseLimit: true, droppedLimit: true, callerCheck: true,
	unanswered: true, fencing: true, restart: true, leaseExpiry: true, responsive: true, superseded: true, lifeToken: true, needsLease: true, startDelay: true, processToken: true,
}
