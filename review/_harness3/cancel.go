package main

import (
	"fmt"
	"sort"
	"strings"
	"syscall"
	"time"
)

// recordRuns writes all runs of a job to the record.
func (c *cluster) recordRuns(job string) {
	list := c.runsOf(job)
	sort.Slice(list, func(a, b int) bool { return list[a].Start.Before(list[b].Start) })
	for _, r := range list {
		end := "still at work"
		if !r.End.IsZero() {
			end = fmt.Sprintf("%s after %d ms", r.Outcome, r.End.Sub(r.Start).Milliseconds())
		}
		c.rec.logAt(r.Start, "worker %s starts %s, attempt %d: %s", r.Worker, r.Task, r.Attempt, end)
	}
}

// startsAfterCancel returns what breaks UNASKED: starts of a job later than cancelTime after its
// cancelling was acknowledged.
func (c *cluster) startsAfterCancel(job string, acknowledged time.Time) string {
	late := 0
	var first, last time.Duration
	for _, r := range c.runsOf(job) {
		since := r.Start.Sub(acknowledged)
		if since <= cancelTime {
			continue
		}
		if late == 0 || since < first {
			first = since
		}
		last = max(last, since)
		late++
	}
	if late == 0 {
		return ""
	}
	return fmt.Sprintf("UNASKED: %d starts of the canceled job %s, the first %d ms and the last %d ms after the acknowledgement; cancel_ms is %d", late, job, first.Milliseconds(), last.Milliseconds(), cancelTime.Milliseconds())
}

// isAcknowledgement reports whether an answer to DELETE is 2xx or 410.
func isAcknowledgement(a answer) bool { return a.status/100 == 2 || a.status == 410 }

// cancelAtCutNode cancels a job at an entry instance that is cut off from the store and from the
// machines of other zones (core_cut, near), while the job is under way at another one.
func cancelAtCutNode(c *cluster, trouble bool) (string, error) {
	const owner, cutNode = 0, 1
	const cutTime = 5500 * time.Millisecond
	job := newJobID()
	posted := make(chan answer, 1)
	go func() { posted <- c.post(owner, job, chain(40, 300*time.Millisecond), 25*time.Second) }()
	time.Sleep(2 * time.Second)
	if len(c.runsOf(job)) == 0 {
		return "", fmt.Errorf("the job has not started")
	}
	if trouble {
		zone := zones[cutNode]
		c.setCuts(func(a, b string) bool { return a == entryName(cutNode) && !strings.Contains(b, zone) })
		c.rec.logf("core_cut (near) of %s begins", entryName(cutNode))
		time.AfterFunc(cutTime, func() {
			c.setCuts(nil)
			c.rec.logf("core_cut (near) of %s ends", entryName(cutNode))
		})
	}
	time.Sleep(200 * time.Millisecond)
	a := c.remove(cutNode, job)
	if !isAcknowledgement(a) {
		return "", fmt.Errorf("the cancelling was not acknowledged: %v", a)
	}
	select {
	case <-posted:
	case <-time.After(cutTime + contactTime + time.Second):
	}
	time.Sleep(cancelTime)
	c.recordRuns(job)
	return c.startsAfterCancel(job, a.at), nil
}

// cancelAndRestartedNode cancels a job, restarts an entry instance as in roll_term, and lets a
// request that hands the job in arrive again there, seconds after the answer.
func cancelAndRestartedNode(c *cluster, trouble bool) (string, error) {
	const first, restarted = 0, 1
	job := newJobID()
	body := chain(4, 300*time.Millisecond)
	posted := make(chan answer, 1)
	go func() { posted <- c.post(first, job, body, 10*time.Second) }()
	time.Sleep(500 * time.Millisecond)
	a := c.remove(first, job)
	if !isAcknowledgement(a) {
		return "", fmt.Errorf("the cancelling was not acknowledged: %v", a)
	}
	if p := <-posted; p.status != 200 {
		return "", fmt.Errorf("the job was answered with %v", p)
	}
	if trouble {
		p := c.entries[restarted]
		starts := p.numStarts()
		c.rec.logf("SIGTERM to %s", p.name)
		p.signal(syscall.SIGTERM)
		for end := time.Now().Add(8 * time.Second); p.numStarts() == starts; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				return "", fmt.Errorf("%s does not end", p.name)
			}
		}
		if !c.awaitReady(10*time.Second, restarted) {
			return "", fmt.Errorf("%s does not become ready again", p.name)
		}
		c.rec.logf("%s has started again and is ready", p.name)
	}
	time.Sleep(contactTime + 500*time.Millisecond)
	c.rec.logf("the request with the ID %s arrives again", job)
	c.post(restarted, job, body, 10*time.Second)
	time.Sleep(time.Second)
	c.recordRuns(job)
	return c.startsAfterCancel(job, a.at), nil
}
