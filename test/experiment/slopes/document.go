package slopes

import (
	"fmt"

	"github.com/cardamomturn/cardamomturn/internal/resource"
)

const (
	service    = "booking"
	idleTeams  = 10
	deadlineMs = 120_000
	// quota is the limit of each amount of a team that has one.
	quota = 10_000
	// queueTasks admits the queues that the memory is measured with.
	queueTasks = 1_000_000
)

func teamName(i int) string { return fmt.Sprintf("team-%03d", i) }

// document holds two kinds and the teams. The kind "waiting" has a service
// without a backend server, so its tasks stay queued.
func document(revision uint64, teams int, withQuota bool) *resource.Document {
	doc := resource.Default()
	doc.Revision = revision
	doc.Kinds, doc.Teams = map[string]*resource.Kind{}, map[string]*resource.Team{}
	meta := func(name string) resource.Metadata {
		return resource.Metadata{Name: name, Generation: 1, ResourceVersion: 1}
	}
	for name, of := range map[string]string{"quick": service, "waiting": "nowhere"} {
		doc.Kinds[name] = &resource.Kind{Metadata: meta(name), Spec: resource.KindSpec{
			Service: of, Urgency: resource.UrgencyNormal, RunMs: 5, DeadlineMs: deadlineMs,
		}}
	}
	for i := range teams {
		n, queue := int64(quota), int64(queueTasks)
		t := &resource.Team{Metadata: meta(teamName(i)), Spec: resource.TeamSpec{Weight: 1}}
		if withQuota {
			t.Spec.Quota = resource.Amounts{Concurrency: &n, Rate: &n, Queue: &queue}
		}
		doc.Teams[t.Metadata.Name] = t
	}
	queue := int64(queueTasks)
	doc.Policies[resource.PolicyDefault].Spec.QueueTasks = &queue
	return doc
}
