// Package httpstore is a client of a key-value store over HTTP and JSON.
//
// Every call is a POST whose JSON body is of the request type below. A successful
// call returns status 200 and a JSON body of the response type. Values are
// encoded in base64; a value of null in a compare-and-swap deletes the key.
// Durations are in milliseconds. The paths are:
//
//	/v1/get              GetRequest             store.KeyValue
//	/v1/list             ListRequest            ListResponse
//	/v1/compare-and-swap CompareAndSwapRequest  CompareAndSwapResponse
//	/v1/lease/grant      GrantRequest           LeaseMessage
//	/v1/lease/keep-alive LeaseMessage           EmptyResponse
//	/v1/lease/revoke     LeaseMessage           EmptyResponse
//	/v1/watch            WatchRequest           WatchResponse
//
// A failed call returns another status and an ErrorBody. The code in the
// ErrorBody determines the meaning of the failure, because an intermediary may
// also have sent the status. The codes "conflict" (409), "notFound" (404),
// "invalid" (400), "tooLarge" (413) and "unavailable" (503) mean that the call
// was not executed. After any other failure of a write, the outcome of the write
// is unknown.
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

// MaxRequestBytes is the size limit of a request body. It allows for a value of
// store.MaxValueBytes in base64 and 16 KiB for the other fields.
const MaxRequestBytes = store.MaxValueBytes/3*4 + 16<<10

// Code classifies a failure.
type Code string

// Codes of failed calls.
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

// GetRequest requests the value of a key.
type GetRequest struct {
	Key string `json:"key"`
}

// ListRequest requests the keys with a prefix and their values.
type ListRequest struct {
	Prefix string `json:"prefix"`
}

// ListResponse contains the key-value pairs, sorted by key, and the version of
// the store.
type ListResponse struct {
	Entries []store.KeyValue `json:"entries"`
	Version uint64           `json:"version"`
}

// CompareAndSwapRequest writes a key if its current version is Version.
type CompareAndSwapRequest struct {
	Key     string        `json:"key"`
	Value   []byte        `json:"value"`
	Version uint64        `json:"version"`
	Lease   store.LeaseID `json:"lease,omitempty"`
}

// CompareAndSwapResponse contains the new version.
type CompareAndSwapResponse struct {
	Version uint64 `json:"version"`
}

// GrantRequest requests a lease.
type GrantRequest struct {
	TTLMs int64 `json:"ttlMs"`
}

// LeaseMessage is a request or response that contains only a lease ID.
type LeaseMessage struct {
	Lease store.LeaseID `json:"lease"`
}

// WatchRequest waits at most WaitMs for changes after Version.
type WatchRequest struct {
	Prefix  string `json:"prefix"`
	Version uint64 `json:"version"`
	WaitMs  int64  `json:"waitMs"`
}

// WatchResponse contains the latest change of each changed key and the version
// from which to continue.
type WatchResponse struct {
	Events  []store.Event `json:"events"`
	Version uint64        `json:"version"`
}

// EmptyResponse is the body of a response without fields.
type EmptyResponse struct{}
