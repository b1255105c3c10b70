// Package httpstore is a client of a key-value service over HTTP and JSON.
//
// Every call is a POST with a JSON body of the request type below and answers
// 200 with a JSON body of the response type. Values are base64 in JSON; a
// value of null in a compare-and-swap deletes the key. Durations are
// milliseconds. The paths are:
//
//	/v1/get              GetRequest    store.Entry
//	/v1/list             ListRequest   ListResponse
//	/v1/compare-and-swap SwapRequest   SwapResponse
//	/v1/lease/grant      GrantRequest  LeaseMessage
//	/v1/lease/keep-alive LeaseMessage  Empty
//	/v1/lease/revoke     LeaseMessage  Empty
//	/v1/watch            WatchRequest  WatchResponse
//
// A failed call answers with another status and an ErrorBody. Its code, not
// the status, decides what the failure means, because a status alone may come
// from an intermediary: "conflict" (409), "notFound" (404), "invalid" (400),
// "tooLarge" (413) and "unavailable" (503) say that nothing was executed. Any
// other failure of a write leaves its outcome unknown.
package httpstore

import "github.com/cardamomturn/cardamomturn/internal/store"

// Paths of the calls.
const (
	PathGet            = "/v1/get"
	PathList           = "/v1/list"
	PathCompareAndSwap = "/v1/compare-and-swap"
	PathGrant          = "/v1/lease/grant"
	PathKeepAlive      = "/v1/lease/keep-alive"
	PathRevoke         = "/v1/lease/revoke"
	PathWatch          = "/v1/watch"
)

// MaxRequest is the largest request body in bytes: a value of
// store.MaxValue in base64 with its envelope.
const MaxRequest = store.MaxValue/3*4 + 16<<10

// Code says what a failure means.
type Code string

// Codes of failures.
const (
	CodeConflict    Code = "conflict"
	CodeNotFound    Code = "notFound"
	CodeInvalid     Code = "invalid"
	CodeTooLarge    Code = "tooLarge"
	CodeUnavailable Code = "unavailable"
	CodeUnknown     Code = "unknown"
)

// ErrorBody is the body of a failed call.
type ErrorBody struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
}

// GetRequest asks for a key.
type GetRequest struct {
	Key string `json:"key"`
}

// ListRequest asks for the keys with a prefix.
type ListRequest struct {
	Prefix string `json:"prefix"`
}

// ListResponse has the entries in the order of their keys, and the version of
// the store.
type ListResponse struct {
	Entries []store.Entry `json:"entries"`
	Version uint64        `json:"version"`
}

// SwapRequest writes a key if its version is the given one.
type SwapRequest struct {
	Key     string        `json:"key"`
	Value   []byte        `json:"value"`
	Version uint64        `json:"version"`
	Lease   store.LeaseID `json:"lease,omitempty"`
}

// SwapResponse has the new version.
type SwapResponse struct {
	Version uint64 `json:"version"`
}

// GrantRequest asks for a lease.
type GrantRequest struct {
	TTLMs int64 `json:"ttlMs"`
}

// LeaseMessage names a lease.
type LeaseMessage struct {
	Lease store.LeaseID `json:"lease"`
}

// WatchRequest waits for changes after a version, at most WaitMs.
type WatchRequest struct {
	Prefix  string `json:"prefix"`
	Version uint64 `json:"version"`
	WaitMs  int64  `json:"waitMs"`
}

// WatchResponse has the newest change of each changed key, and the version to
// continue from.
type WatchResponse struct {
	Events  []store.Event `json:"events"`
	Version uint64        `json:"version"`
}

// Empty is an empty response.
type Empty struct{}
