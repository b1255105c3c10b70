// Package load generates the seeded workloads of the experiments, reads and
// writes traces, and computes the ideal and the baseline response times.
package load

import (
	"fmt"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// Service is the backend service of all experiments.
const Service = "booking"

// KindLoad is one kind of work with its share of the jobs and its run times.
type KindLoad struct {
	Name       string
	Urgency    string
	Idempotent bool
	// Share of the arriving jobs, relative to the other kinds; zero for a
	// kind that arrives in floods only.
	Share float64
	// MinRun and MaxRun bound the run times, which are log-uniform.
	MinRun, MaxRun time.Duration
	// SlowShare of the tasks run for slowMin to slowMax instead.
	SlowShare float64
}

// Run times of the few slow tasks.
const (
	slowMin = 2 * time.Second
	slowMax = 5 * time.Second
)

// Deployment gives the sizes of one user of design section 1.1.
type Deployment struct {
	Name string
	// Zones, Entries and Workers are numbers of machines; worker i is in zone
	// i mod Zones, and in a rack with workers of the same zone.
	Zones, Entries, Workers int
	Slots, Connections      int
	Worker                  jobapi.Size
	// ZoneDelay and ClientDelay are one way.
	ZoneDelay, ClientDelay time.Duration
	Kinds                  []KindLoad
	Teams                  []string
	// FloodKind is the kind of the overload case.
	FloodKind string
}

// workersPerRack is the number of workers in a rack.
const workersPerRack = 3

// Torno returns the deployment of Torno Andino Franquicias. The roster checks
// of its overload case have the given urgency.
func Torno(floodUrgency string) Deployment {
	return Deployment{
		Name: "torno", Zones: 4, Entries: 4, Workers: 10, Slots: 8, Connections: 60,
		Worker:    jobapi.Size{CPUs: 30, MemoryMB: 64 << 10},
		ZoneDelay: time.Millisecond, ClientDelay: 3 * time.Millisecond,
		Kinds: []KindLoad{
			{Name: "seat-booking", Urgency: "high", Share: 5, MinRun: 50 * time.Millisecond, MaxRun: 500 * time.Millisecond},
			{Name: "kiln-slot", Urgency: "normal", Share: 3, MinRun: 50 * time.Millisecond, MaxRun: time.Second, SlowShare: 0.02},
			{Name: "clay-kit", Urgency: "normal", Idempotent: true, Share: 2, MinRun: 50 * time.Millisecond, MaxRun: time.Second},
			{Name: "roster-check", Urgency: floodUrgency, Idempotent: true, MinRun: 50 * time.Millisecond, MaxRun: 500 * time.Millisecond},
		},
		Teams:     []string{"quito", "cuenca", "loja", "ambato", "manta"},
		FloodKind: "roster-check",
	}
}

// Safari returns the deployment of Safari Deposit Ledger Ltd.
func Safari() Deployment {
	return Deployment{
		Name: "safari", Zones: 3, Entries: 3, Workers: 10, Slots: 8, Connections: 60,
		Worker:    jobapi.Size{CPUs: 60, MemoryMB: 256 << 10},
		ZoneDelay: 1500 * time.Microsecond, ClientDelay: 3 * time.Millisecond,
		Kinds: []KindLoad{
			{Name: "deposit-confirm", Urgency: "critical", Share: 5, MinRun: 50 * time.Millisecond, MaxRun: 200 * time.Millisecond},
			{Name: "deposit-release", Urgency: "high", Share: 3, MinRun: 50 * time.Millisecond, MaxRun: time.Second},
			{Name: "deposit-refund", Urgency: "normal", Share: 1, MinRun: 100 * time.Millisecond, MaxRun: time.Second, SlowShare: 0.05},
			{Name: "refund-check", Urgency: "normal", Idempotent: true, MinRun: 200 * time.Millisecond, MaxRun: time.Second, SlowShare: 0.05},
		},
		Teams:     []string{"mara", "amboseli", "tsavo", "samburu"},
		FloodKind: "refund-check",
	}
}

// TotalSlots is the number of slots of all workers.
func (d Deployment) TotalSlots() int { return d.Workers * d.Slots }

// Zone names the zone of worker or entry instance i.
func (d Deployment) Zone(i int) string { return fmt.Sprintf("zone-%d", i%d.Zones) }

// Rack names the rack of worker i; racks don't span zones.
func (d Deployment) Rack(i int) string {
	return fmt.Sprintf("rack-%d-%d", i%d.Zones, i/d.Zones/workersPerRack)
}

// ZoneToZone is the one way delay between the zones of two machines.
func (d Deployment) ZoneToZone(i, j int) time.Duration {
	if i%d.Zones == j%d.Zones {
		return 0
	}
	return d.ZoneDelay
}

// Backend describes the backend server of worker i without its address.
func (d Deployment) Backend(i int) wire.Backend {
	return wire.Backend{
		Name: fmt.Sprintf("backend-%d", i), Service: Service, Zone: d.Zone(i), Rack: d.Rack(i),
		Slots: d.Slots, Size: d.Worker, MaxConnections: d.Connections,
	}
}

// deadlineMs is the deadline of every kind.
const deadlineMs = 30_000

// Document returns the configuration of the deployment with revision 1.
func (d Deployment) Document() *resource.Document {
	meta := func(name string) resource.Metadata {
		return resource.Metadata{Name: name, Generation: 1, ResourceVersion: 1}
	}
	doc := &resource.Document{
		Format: resource.DocumentFormat, Revision: 1,
		Kinds: map[string]*resource.Kind{}, Teams: map[string]*resource.Team{},
		Urgencies: map[string]*resource.Urgency{}, Limits: map[string]*resource.Limit{},
		Policies: map[string]*resource.Policy{},
	}
	for i, u := range []string{"low", "normal", "high", "critical"} {
		doc.Urgencies[u] = &resource.Urgency{Metadata: meta(u),
			Spec: resource.UrgencySpec{Weight: float64(int(1) << i), Rank: i}}
	}
	for _, k := range d.Kinds {
		doc.Kinds[k.Name] = &resource.Kind{Metadata: meta(k.Name), Spec: resource.KindSpec{
			Service: Service, Idempotent: k.Idempotent, Urgency: k.Urgency,
			RunMs: k.meanRun().Milliseconds(), DeadlineMs: deadlineMs,
		}}
	}
	for _, t := range d.Teams {
		doc.Teams[t] = &resource.Team{Metadata: meta(t), Spec: resource.TeamSpec{Weight: 1}}
	}
	return doc
}
