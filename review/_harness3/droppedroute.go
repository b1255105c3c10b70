package main

import (
	"fmt"
	"net/http"
	"time"
)

// cancelOnDroppedRoute drops the route of a job that is under way, and cancels the job afterwards at
// each entry instance in turn, until one acknowledges that.
func cancelOnDroppedRoute(c *cluster, trouble bool) (string, error) {
	const owner = 0
	job := newJobID()
	posted := make(chan answer, 1)
	go func() { posted <- c.post(owner, job, chain(40, 300*time.Millisecond), 25*time.Second) }()
	time.Sleep(time.Second)
	if len(c.runsOf(job)) == 0 {
		return "", fmt.Errorf("the job has not started")
	}
	if trouble {
		c.version += 3
		c.store.Configure(c.version, httpHost, service, 3, []string{"/q1/", "/q2/"})
		c.rec.logf("the operator writes version %d, without the route /q0/; the store has acknowledged it", c.version)
	}
	time.Sleep(2 * time.Second) // configuration_apply_ms
	sentAt := time.Now()
	counted := sentAt.Add(acknowledgeTime)
	for entry := owner; ; entry = (entry + 1) % numEntries {
		a := c.remove(entry, job)
		if isAcknowledgement(a) {
			counted = a.at
			break
		}
		if time.Since(sentAt) > acknowledgeTime+cancelTime {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	<-posted
	if other := c.call(http.MethodGet, owner, "/q1/", nil, time.Second); other.status != http.StatusOK {
		return "", fmt.Errorf("another route is answered with %v", other)
	}
	c.recordRuns(job)
	return c.startsAfterCancel(job, counted), nil
}
