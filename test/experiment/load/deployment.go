// Package load generates the workloads of the experiments from seeds, reads and
// writes traces, and computes the ideal and the baseline response times.
package load

import (
	"fmt"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// Service is the service that the backend servers of all experiments offer.
const Service = "booking"

// KindLoad describes one kind of job: its share of the jobs and its run times.
type KindLoad struct {
	Name       string
	Urgency    string
	Idempotent bool
	// ArrivalWeight is the weight of the kind among the kinds of the arriving jobs;
	// zero for a kind that arrives only in an overload.
	ArrivalWeight float64
	// MinRunTime and MaxRunTime bound the run times, which have a log-uniform
	// distribution.
	MinRunTime, MaxRunTime time.Duration
	// SlowShare is the share of the tasks that run for minSlowRun to maxSlowRun
	// instead, with a uniform distribution.
	SlowShare float64
}

// Bounds of the run times of slow tasks.
const (
	minSlowRun = 2 * time.Second
	maxSlowRun = 5 * time.Second
)

// Deployment describes the deployment of one user of design section 1.1.
type Deployment struct {
	Name string
	// Zones, Entries and Workers are the numbers of availability zones, entry
	// instances and workers. Entry instance i and worker i are in zone i mod Zones,
	// and all workers of a rack are in the same zone.
	Zones, Entries, Workers        int
	SlotsPerWorker, MaxConnections int
	WorkerSize                     jobapi.Size
	// ZoneDelay is the one-way delay between two zones, and ClientDelay that
	// between a caller and an entry instance.
	ZoneDelay, ClientDelay time.Duration
	Kinds                  []KindLoad
	Teams                  []string
	// FloodKind is the kind of the jobs that cause the overload.
	FloodKind string
}

// workersPerRack is the number of workers in a rack.
const workersPerRack = 3

// Torno returns the deployment of Torno Andino Franquicias. The roster checks, which
// cause its overload, have the given urgency.
func Torno(floodUrgency string) Deployment {
	return Deployment{
		Name: "torno", Zones: 4, Entries: 4, Workers: 10, SlotsPerWorker: 8, MaxConnections: 60,
		WorkerSize: jobapi.Size{CPUs: 30, MemoryMB: 64 << 10},
		ZoneDelay:  time.Millisecond, ClientDelay: 3 * time.Millisecond,
		Kinds: []KindLoad{
			{Name: "seat-booking", Urgency: "high", ArrivalWeight: 5, MinRunTime: 50 * time.Millisecond, MaxRunTime: 500 * time.Millisecond},
			{Name: "kiln-slot", Urgency: "normal", ArrivalWeight: 3, MinRunTime: 50 * time.Millisecond, MaxRunTime: time.Second, SlowShare: 0.02},
			{Name: "clay-kit", Urgency: "normal", Idempotent: true, ArrivalWeight: 2, MinRunTime: 50 * time.Millisecond, MaxRunTime: time.Second},
			{Name: "roster-check", Urgency: floodUrgency, Idempotent: true, MinRunTime: 50 * time.Millisecond, MaxRunTime: 500 * time.Millisecond},
		},
		Teams:     []string{"quito", "cuenca", "loja", "ambato", "manta"},
		FloodKind: "roster-check",
	}
}

// Safari returns the deployment of Safari Deposit Ledger Ltd.
func Safari() Deployment {
	return Deployment{
		Name: "safari", Zones: 3, Entries: 3, Workers: 10, SlotsPerWorker: 8, MaxConnections: 60,
		WorkerSize: jobapi.Size{CPUs: 60, MemoryMB: 256 << 10},
		ZoneDelay:  1500 * time.Microsecond, ClientDelay: 3 * time.Millisecond,
		Kinds: []KindLoad{
			{Name: "deposit-confirm", Urgency: "critical", ArrivalWeight: 5, MinRunTime: 50 * time.Millisecond, MaxRunTime: 200 * time.Millisecond},
			{Name: "deposit-release", Urgency: "high", ArrivalWeight: 3, MinRunTime: 50 * time.Millisecond, MaxRunTime: time.Second},
			{Name: "deposit-refund", Urgency: "normal", ArrivalWeight: 1, MinRunTime: 100 * time.Millisecond, MaxRunTime: time.Second, SlowShare: 0.05},
			{Name: "refund-check", Urgency: "normal", Idempotent: true, MinRunTime: 200 * time.Millisecond, MaxRunTime: time.Second, SlowShare: 0.05},
		},
		Teams:     []string{"mara", "amboseli", "tsavo", "samburu"},
		FloodKind: "refund-check",
	}
}

// TotalSlots returns the number of slots of all workers.
func (d Deployment) TotalSlots() int { return d.Workers * d.SlotsPerWorker }

// Zone returns the name of the zone of worker i and of entry instance i.
func (d Deployment) Zone(i int) string { return fmt.Sprintf("zone-%d", i%d.Zones) }

// Rack returns the name of the rack of worker i.
func (d Deployment) Rack(i int) string {
	return fmt.Sprintf("rack-%d-%d", i%d.Zones, i/d.Zones/workersPerRack)
}

// OneWayDelay returns the one-way delay between the zones of the processes with the
// indexes i and j, each an entry instance or a worker.
func (d Deployment) OneWayDelay(i, j int) time.Duration {
	if i%d.Zones == j%d.Zones {
		return 0
	}
	return d.ZoneDelay
}

// Backend returns the description of the backend server of worker i, without its
// address.
func (d Deployment) Backend(i int) wire.Backend {
	return wire.Backend{
		Name: fmt.Sprintf("backend-%d", i), Service: Service, Zone: d.Zone(i), Rack: d.Rack(i),
		Slots: d.SlotsPerWorker, Size: d.WorkerSize, MaxConnections: d.MaxConnections,
	}
}

// deadlineMs is the deadline of the jobs of every kind.
const deadlineMs = 30_000

// Document returns the configuration of the deployment, with revision 1.
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
			RunMs: k.meanRunTime().Milliseconds(), DeadlineMs: deadlineMs,
		}}
	}
	for _, t := range d.Teams {
		doc.Teams[t] = &resource.Team{Metadata: meta(t), Spec: resource.TeamSpec{Weight: 1}}
	}
	return doc
}
