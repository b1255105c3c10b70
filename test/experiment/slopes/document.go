package slopes

import (
	"fmt"

	"github.com/cardamomturn/cardamomturn/internal/resource"
)

const (
	service      = "booking"
	defaultTeams = 10
	deadlineMs   = 120_000
	// teamQuota is the concurrency and the rate in the quota of a team.
	teamQuota = 10_000
	// queueLimit is the limit of queued tasks; it is above the largest queue whose
	// memory is measured.
	queueLimit = 1_000_000
)

func teamName(i int) string { return fmt.Sprintf("team-%03d", i) }

// document returns a configuration with two kinds and a number of teams. The
// service of the kind "waiting" has no backend server, so its tasks stay queued.
func document(revision uint64, teams int, withQuota bool) *resource.Document {
	doc := resource.Default()
	doc.Revision = revision
	doc.Kinds, doc.Teams = map[string]*resource.Kind{}, map[string]*resource.Team{}
	meta := func(name string) resource.Metadata {
		return resource.Metadata{Name: name, Generation: 1, ResourceVersion: 1}
	}
	for name, serviceName := range map[string]string{"quick": service, "waiting": "nowhere"} {
		doc.Kinds[name] = &resource.Kind{Metadata: meta(name), Spec: resource.KindSpec{
			Service: serviceName, Urgency: resource.UrgencyNormal, RunMs: 5, DeadlineMs: deadlineMs,
		}}
	}
	for i := range teams {
		n, queue := int64(teamQuota), int64(queueLimit)
		t := &resource.Team{Metadata: meta(teamName(i)), Spec: resource.TeamSpec{Weight: 1}}
		if withQuota {
			t.Spec.Quota = resource.Amounts{Concurrency: &n, Rate: &n, Queue: &queue}
		}
		doc.Teams[t.Metadata.Name] = t
	}
	queue := int64(queueLimit)
	doc.Policies[resource.PolicyDefault].Spec.QueueTasks = &queue
	return doc
}
