// Package resource defines the resources that operators declare, and the
// document that holds all of them under one revision.
package resource

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/jobapi"
)

// Type is the plural name of a resource type as the Resource API shows it.
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
	// Generation increases with each change of the spec.
	Generation int64 `json:"generation"`
	// ResourceVersion is the document revision that last changed the resource.
	ResourceVersion uint64 `json:"resourceVersion"`
}

// KindSpec describes a kind of work.
type KindSpec struct {
	// Service is the backend service that runs the tasks.
	Service    string `json:"service"`
	Idempotent bool   `json:"idempotent,omitempty"`
	// Urgency names an Urgency resource.
	Urgency string `json:"urgency"`
	// Size is the declared size of a task.
	Size jobapi.Size `json:"size,omitzero"`
	// RunMs is the declared run time of a task in milliseconds.
	RunMs int64 `json:"runMs"`
	// DeadlineMs is the longest time to an answer in milliseconds.
	DeadlineMs int64 `json:"deadlineMs"`
}

// TeamSpec describes a team and its quota. Zero limits mean none.
type TeamSpec struct {
	// Weight is the team's share relative to other teams; zero means 1.
	Weight float64 `json:"weight,omitempty"`
	Quota  Amounts `json:"quota,omitzero"`
}

// Amounts are the quantities that a limit bounds. A nil pointer means no
// limit; zero admits nothing.
type Amounts struct {
	// Concurrency bounds the running tasks.
	Concurrency *int64 `json:"concurrency,omitempty"`
	// Rate bounds the task starts per second.
	Rate *int64 `json:"rate,omitempty"`
	// Queue bounds the waiting tasks.
	Queue *int64 `json:"queue,omitempty"`
}

// UrgencySpec gives the weight of an urgency level.
type UrgencySpec struct {
	// Weight is the level's share relative to others.
	Weight float64 `json:"weight"`
	// Rank orders levels; a higher rank is served first among classes below
	// their share.
	Rank int `json:"rank"`
}

// LimitSpec bounds a kind of work, within one team or over all.
type LimitSpec struct {
	Kind string `json:"kind"`
	// Team restricts the limit to one team; empty means the sum over all.
	Team    string  `json:"team,omitempty"`
	Amounts Amounts `json:"amounts"`
}

// PolicySpec tunes scheduling. Zero values select the defaults.
type PolicySpec struct {
	// ReserveSlots is the number of slots per worker that classes above their
	// fair share leave free.
	ReserveSlots *int `json:"reserveSlots,omitempty"`
	// RetryPercent bounds retries relative to starts.
	RetryPercent *int `json:"retryPercent,omitempty"`
	// EjectPercent bounds the ejected workers of a service.
	EjectPercent *int `json:"ejectPercent,omitempty"`
	// QueueTasks bounds the waiting tasks per class and entry instance.
	QueueTasks *int64 `json:"queueTasks,omitempty"`
}

// Object is one resource with its spec.
type Object[S any] struct {
	Metadata Metadata `json:"metadata"`
	Spec     S        `json:"spec"`
	// Status is filled in by the Resource API and never stored, but for the
	// stored conditions below.
	Status *Status `json:"status,omitempty"`
	// Conditions are kept with the resource, for example DecreaseAllowed.
	Conditions []Condition `json:"conditions,omitempty"`
}

// Condition is one observed aspect of a resource.
type Condition struct {
	Type    string `json:"type"`
	Status  string `json:"status"`
	Reason  string `json:"reason,omitempty"`
	Message string `json:"message,omitempty"`
	// Generation is the generation that the condition was observed on.
	Generation int64 `json:"generation"`
	// At is the time of the last change by the clock of the writer.
	At time.Time `json:"at,omitzero"`
}

// Status is how a resource fares.
type Status struct {
	// ObservedGeneration is the generation in force at the answering process.
	ObservedGeneration int64 `json:"observedGeneration"`
	// InForceSince is when the generation was first seen in force on all live
	// processes; zero if it isn't yet.
	InForceSince time.Time `json:"inForceSince,omitzero"`
	// Processes counts the live processes, InForce those that report the
	// generation in force.
	Processes  int         `json:"processes"`
	InForce    int         `json:"inForce"`
	Conditions []Condition `json:"conditions,omitempty"`
	Work       *Work       `json:"work,omitempty"`
	// Shares are the parts of a limit or quota, one element per amount.
	Shares []AmountShares `json:"shares,omitempty"`
}

// ConditionLowering is the condition of a resource while a decrease of one of
// its amounts is under way.
const ConditionLowering = "Lowering"

// AmountShares tells how one amount is divided among the entry instances.
type AmountShares struct {
	// Amount is concurrency, rate or queue.
	Amount string `json:"amount"`
	Total  int64  `json:"total"`
	// Held is what no live entry instance holds: it is on its way, or belongs
	// to an incarnation of HeldBy whose tasks are not known to have ended.
	Held   int64    `json:"held"`
	HeldBy []string `json:"heldBy,omitempty"`
	// Holders are the live entry instances.
	Holders []HolderShare `json:"holders,omitempty"`
}

// HolderShare is the part of one entry instance. A negative share is the
// result of a decrease.
type HolderShare struct {
	Process string `json:"process"`
	Share   int64  `json:"share"`
	// Used is the number of running tasks, starts of the last second, or
	// waiting tasks; Wanting is the share that waiting tasks lack.
	Used    int64 `json:"used"`
	Wanting int64 `json:"wanting,omitempty"`
}

// Work is how the work under a kind or team fares, summed over entry instances.
type Work struct {
	Queued    int64            `json:"queued"`
	Running   int64            `json:"running"`
	Completed int64            `json:"completed"`
	Failed    int64            `json:"failed"`
	Refused   map[string]int64 `json:"refused,omitempty"`
	// Response describes the job response times.
	Response Histogram `json:"response,omitzero"`
}

// Histogram is a summary of response times in milliseconds.
type Histogram struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
	// Buckets holds the counts at or below the bounds of BucketsMs, which are
	// not cumulative.
	Buckets []int64 `json:"buckets,omitempty"`
}

// BucketsMs are the upper bounds of histogram buckets in milliseconds; a last
// bucket counts what is above.
var BucketsMs = []float64{1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000, 30000}

// Named objects.
type (
	// Kind is a kind of work.
	Kind = Object[KindSpec]
	// Team is a customer with a quota.
	Team = Object[TeamSpec]
	// Urgency is an urgency level.
	Urgency = Object[UrgencySpec]
	// Limit bounds a kind of work.
	Limit = Object[LimitSpec]
	// Policy tunes scheduling; only the one named "default" is used.
	Policy = Object[PolicySpec]
)

// Change identifies an accepted change.
type Change struct {
	ID       string `json:"id"`
	Revision uint64 `json:"revision"`
}

// Document holds all resources under one revision. A document is immutable
// once published: readers share it without locks.
type Document struct {
	// Format is the version of the document's layout; readers reject higher ones.
	Format    int                 `json:"format"`
	Revision  uint64              `json:"revision"`
	Kinds     map[string]*Kind    `json:"kinds,omitempty"`
	Teams     map[string]*Team    `json:"teams,omitempty"`
	Urgencies map[string]*Urgency `json:"urgencies,omitempty"`
	Limits    map[string]*Limit   `json:"limits,omitempty"`
	Policies  map[string]*Policy  `json:"policies,omitempty"`
	// Changes are the most recent accepted changes, oldest first.
	Changes []Change `json:"changes,omitempty"`
}

// Format is the newest document layout that this program reads.
const Format = 1

// MaxChanges is the number of changes that a document remembers.
const MaxChanges = 256
