// Package resource defines the resources that operators declare and the
// document that holds all resources under a single revision.
package resource

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/jobapi"
)

// Type is the plural name of a resource type as used in the Resource API.
type Type string

// Resource types.
const (
	TypeKind    Type = "kinds"
	TypeTeam    Type = "teams"
	TypeUrgency Type = "urgencies"
	TypeLimit   Type = "limits"
	TypePolicy  Type = "policies"
)

// Metadata is common to all resources.
type Metadata struct {
	Name string `json:"name"`
	// Generation is incremented with each change of the spec.
	Generation int64 `json:"generation"`
	// ResourceVersion is the revision of the document that last changed the
	// resource.
	ResourceVersion uint64 `json:"resourceVersion"`
}

// KindSpec describes a kind of work.
type KindSpec struct {
	// Service is the backend service that runs the tasks of this kind.
	Service    string `json:"service"`
	Idempotent bool   `json:"idempotent,omitempty"`
	// Urgency names an Urgency resource.
	Urgency string `json:"urgency"`
	// Size is the declared size of a task.
	Size jobapi.Size `json:"size,omitzero"`
	// RunMs is the declared run time of a task in milliseconds.
	RunMs int64 `json:"runMs"`
	// DeadlineMs is the maximum time until a job is answered, in milliseconds.
	DeadlineMs int64 `json:"deadlineMs"`
}

// TeamSpec describes a team and its quota. An empty quota sets no limit.
type TeamSpec struct {
	// Weight is the team's weight relative to other teams; zero means 1.
	Weight float64 `json:"weight,omitempty"`
	Quota  Amounts `json:"quota,omitzero"`
}

// Amounts are the upper bounds that a limit or quota sets. A nil pointer sets
// no bound; a bound of zero admits nothing.
type Amounts struct {
	// Concurrency bounds the number of running tasks.
	Concurrency *int64 `json:"concurrency,omitempty"`
	// Rate bounds the number of task starts per second.
	Rate *int64 `json:"rate,omitempty"`
	// Queue bounds the number of waiting tasks.
	Queue *int64 `json:"queue,omitempty"`
}

// UrgencySpec defines an urgency level.
type UrgencySpec struct {
	// Weight is the level's weight relative to other levels.
	Weight float64 `json:"weight"`
	// Rank orders the levels: among the classes below their fair share, the
	// scheduler serves those with a higher rank first. A class is the tasks of
	// one kind for one team.
	Rank int `json:"rank"`
}

// LimitSpec bounds the work of one kind, within one team or over all teams.
type LimitSpec struct {
	Kind string `json:"kind"`
	// Team restricts the limit to one team; if empty, the limit applies to the
	// sum over all teams.
	Team    string  `json:"team,omitempty"`
	Amounts Amounts `json:"amounts"`
}

// PolicySpec configures scheduling. A nil field selects its default.
type PolicySpec struct {
	// ReserveSlots is the number of slots per worker that classes above their
	// fair share must leave free.
	ReserveSlots *int `json:"reserveSlots,omitempty"`
	// RetryPercent bounds the retries of a class as a percentage of its task
	// starts; a few retries are always allowed.
	RetryPercent *int `json:"retryPercent,omitempty"`
	// EjectPercent bounds the ejected workers as a percentage of the workers
	// of a service.
	EjectPercent *int `json:"ejectPercent,omitempty"`
	// QueueTasks bounds the number of waiting tasks per class and entry
	// instance.
	QueueTasks *int64 `json:"queueTasks,omitempty"`
}

// Object is one resource with its spec.
type Object[S any] struct {
	Metadata Metadata `json:"metadata"`
	Spec     S        `json:"spec"`
	// Status is filled in by the Resource API and is never stored. It includes
	// the stored conditions below.
	Status *Status `json:"status,omitempty"`
	// Conditions are stored with the resource, for example DecreaseAllowed.
	Conditions []Condition `json:"conditions,omitempty"`
}

// Condition is one observed aspect of the state of a resource.
type Condition struct {
	Type    string `json:"type"`
	Status  string `json:"status"`
	Reason  string `json:"reason,omitempty"`
	Message string `json:"message,omitempty"`
	// Generation is the generation of the resource that the condition refers
	// to.
	Generation int64 `json:"generation"`
	// At is the time of the last change of the condition, by the clock of the
	// process that wrote it.
	At time.Time `json:"at,omitzero"`
}

// Status is the observed state of a resource.
type Status struct {
	// ObservedGeneration is the generation in force at the process that serves
	// the request.
	ObservedGeneration int64 `json:"observedGeneration"`
	// InForceSince is the time at which the generation was first seen in force
	// on all live processes; zero if some process does not have it in force yet.
	InForceSince time.Time `json:"inForceSince,omitzero"`
	// Processes is the number of live processes; InForce is the number of live
	// processes that report the generation in force.
	Processes  int          `json:"processes"`
	InForce    int          `json:"inForce"`
	Conditions []Condition  `json:"conditions,omitempty"`
	Work       *WorkSummary `json:"work,omitempty"`
	// Shares has one element for each amount of a limit or quota.
	Shares []AmountShares `json:"shares,omitempty"`
}

// ConditionLowering is the type of the condition that a resource has while a
// decrease of one of its amounts is in progress.
const ConditionLowering = "Lowering"

// AmountShares describes how one amount is divided among the entry instances.
type AmountShares struct {
	// Amount is "concurrency", "rate" or "queue".
	Amount string `json:"amount"`
	Total  int64  `json:"total"`
	// Held is the part of Total that no live entry instance owns. This part is
	// in transfer between instances, or belongs to an incarnation listed in
	// HeldBy whose tasks are not known to have ended.
	Held   int64    `json:"held"`
	HeldBy []string `json:"heldBy,omitempty"`
	// Holders are the live entry instances with their shares.
	Holders []HolderShare `json:"holders,omitempty"`
}

// HolderShare is the share that one entry instance has of an amount. A
// decrease can make the share negative.
type HolderShare struct {
	Process string `json:"process"`
	Share   int64  `json:"share"`
	// Used is the number of running tasks, of task starts in the last second,
	// or of waiting tasks, depending on the amount. Wanting is the additional
	// share that the waiting tasks need.
	Used    int64 `json:"used"`
	Wanting int64 `json:"wanting,omitempty"`
}

// WorkSummary counts the work of a kind or team, summed over all entry
// instances. Queued and Running are the current numbers of tasks. Completed,
// Failed and Refused count jobs, Refused by reason.
type WorkSummary struct {
	Queued    int64            `json:"queued"`
	Running   int64            `json:"running"`
	Completed int64            `json:"completed"`
	Failed    int64            `json:"failed"`
	Refused   map[string]int64 `json:"refused,omitempty"`
	// Response summarizes the job response times.
	Response Histogram `json:"response,omitzero"`
}

// Histogram summarizes a distribution of durations, in milliseconds.
type Histogram struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
	// Buckets holds one count for each bound of BucketBoundsMs and a last count
	// for the values above all bounds. The counts are not cumulative.
	Buckets []int64 `json:"buckets,omitempty"`
}

// BucketBoundsMs are the inclusive upper bounds of the histogram buckets in
// milliseconds. One more bucket counts the values above the last bound.
var BucketBoundsMs = []float64{1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000, 30000}

// Resources of each type.
type (
	// Kind is a kind of work.
	Kind = Object[KindSpec]
	// Team is a customer with a quota.
	Team = Object[TeamSpec]
	// Urgency is an urgency level.
	Urgency = Object[UrgencySpec]
	// Limit bounds the work of one kind.
	Limit = Object[LimitSpec]
	// Policy configures scheduling; only the policy named "default" is used.
	Policy = Object[PolicySpec]
)

// Change identifies an accepted change.
type Change struct {
	ID       string `json:"id"`
	Revision uint64 `json:"revision"`
}

// Document holds all resources under one revision. A document is immutable
// once published, so that readers can share it without locks.
type Document struct {
	// Format is the version of the document's layout; Decode rejects any
	// version other than DocumentFormat.
	Format    int                 `json:"format"`
	Revision  uint64              `json:"revision"`
	Kinds     map[string]*Kind    `json:"kinds,omitempty"`
	Teams     map[string]*Team    `json:"teams,omitempty"`
	Urgencies map[string]*Urgency `json:"urgencies,omitempty"`
	Limits    map[string]*Limit   `json:"limits,omitempty"`
	Policies  map[string]*Policy  `json:"policies,omitempty"`
	// Changes lists the most recent accepted changes, oldest first.
	Changes []Change `json:"changes,omitempty"`
}

// DocumentFormat is the version of the document layout that this program reads
// and writes.
const DocumentFormat = 1

// MaxChanges is the maximum number of changes that a document lists.
const MaxChanges = 256
