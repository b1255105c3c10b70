// Package announce defines the requests by which a backend server registers with its
// sidecar and leaves it again.
package announce

import (
	"bytes"
	"encoding/json"
	"io"
	"math"
	"net"
	"net/url"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// Bounds of an announcement.
const (
	// MaxBodyBytes bounds the request body.
	MaxBodyBytes = 16 << 10
	// MaxSlots bounds the slots of one backend server.
	MaxSlots = 4096
	// MaxConnections bounds the connections to one backend server.
	MaxConnections = 65536
	MaxLease       = 10 * time.Minute
	// maxNameBytes bounds each of the name, service, zone and rack.
	maxNameBytes = 255
)

// Paths of the sidecar's local API.
const (
	PathAnnounce = "/v1/announce"
	PathLeave    = "/v1/leave"
)

// Announcement is the body of POST /v1/announce. Repeating it renews the lease.
type Announcement struct {
	Name string `json:"name"`
	// Address is "ip:port" or "http://ip:port", optionally with a base path.
	Address string `json:"address"`
	Service string `json:"service"`
	// Zone and Rack default to those of the sidecar.
	Zone  string `json:"zone,omitempty"`
	Rack  string `json:"rack,omitempty"`
	Slots int    `json:"slots"`
	// Connections bounds the connections from the sidecar. It defaults to Slots.
	Connections int `json:"connections,omitempty"`
	// Processors is the number of processor cores.
	Processors   float64 `json:"processors,omitempty"`
	MemoryMB     int64   `json:"memoryMB,omitempty"`
	Accelerators int     `json:"accelerators,omitempty"`
	// LeaseSeconds is the time after which the announcement expires.
	LeaseSeconds float64 `json:"leaseSeconds"`
}

// Leave is the body of POST /v1/leave.
type Leave struct {
	Name string `json:"name"`
}

// Lease returns the time after which the announcement expires.
func (a *Announcement) Lease() time.Duration {
	return time.Duration(a.LeaseSeconds * float64(time.Second))
}

// Backend converts the announcement to the message that the sidecar sends to entry
// instances.
func (a *Announcement) Backend() *wire.Backend {
	return &wire.Backend{
		Name: a.Name, Address: a.Address, Service: a.Service, Zone: a.Zone, Rack: a.Rack, Slots: a.Slots,
		Size:           jobapi.Size{CPUs: a.Processors, MemoryMB: a.MemoryMB, Accelerators: a.Accelerators},
		MaxConnections: a.Connections,
	}
}

// Parse parses and validates an announcement and sets the default of Connections. Errors
// satisfy errors.IsNotValid.
func Parse(body []byte) (*Announcement, error) {
	a := &Announcement{}
	if err := decodeStrict(body, a); err != nil {
		return nil, err
	}
	if a.Connections == 0 {
		a.Connections = a.Slots
	}
	return a, a.validate()
}

// ParseLeave parses a leave request. Errors satisfy errors.IsNotValid.
func ParseLeave(body []byte) (*Leave, error) {
	l := &Leave{}
	if err := decodeStrict(body, l); err != nil {
		return nil, err
	}
	if !ident.ValidName(l.Name, maxNameBytes) {
		return nil, errors.NotValidf("name %.80q", l.Name)
	}
	return l, nil
}

// decodeStrict decodes a JSON body and rejects unknown fields and trailing data.
func decodeStrict(body []byte, v any) error {
	if len(body) > MaxBodyBytes {
		return errors.NotValidf("body of %d bytes, want at most %d", len(body), MaxBodyBytes)
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return errors.NewNotValid(err, "body")
	}
	if _, err := dec.Token(); err != io.EOF {
		return errors.NotValidf("data after the JSON value")
	}
	return nil
}

func (a *Announcement) validate() error {
	if !ident.ValidName(a.Name, maxNameBytes) {
		return errors.NotValidf("name %.80q", a.Name)
	}
	if !ident.ValidName(a.Service, maxNameBytes) {
		return errors.NotValidf("service %.80q", a.Service)
	}
	if len(a.Zone) > maxNameBytes || len(a.Rack) > maxNameBytes {
		return errors.NotValidf("zone or rack longer than %d bytes", maxNameBytes)
	}
	if a.Slots < 1 || a.Slots > MaxSlots {
		return errors.NotValidf("slots %d, want 1 to %d", a.Slots, MaxSlots)
	}
	if a.Connections < 1 || a.Connections > MaxConnections {
		return errors.NotValidf("connections %d, want 1 to %d", a.Connections, MaxConnections)
	}
	if !(a.Processors >= 0) || math.IsInf(a.Processors, 0) || a.MemoryMB < 0 || a.Accelerators < 0 {
		return errors.NotValidf("negative or infinite processors, memoryMB or accelerators")
	}
	if !(a.LeaseSeconds > 0) || a.LeaseSeconds > MaxLease.Seconds() {
		return errors.NotValidf("leaseSeconds %v, want above 0 and at most %v", a.LeaseSeconds, MaxLease.Seconds())
	}
	_, _, err := SplitAddress(a.Address)
	return err
}

// SplitAddress splits the address of a backend server into "host:port" and the base
// path without a trailing slash. Errors satisfy errors.IsNotValid.
func SplitAddress(address string) (host, base string, err error) {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	u, err := url.Parse(address)
	if err != nil || u.Scheme != "http" || u.RawQuery != "" || u.Fragment != "" || u.User != nil {
		return "", "", errors.NotValidf("address %.200q", address)
	}
	name, port, err := net.SplitHostPort(u.Host)
	if err != nil || name == "" || port == "" || port == "0" {
		return "", "", errors.NotValidf("address %.200q: want host and port", address)
	}
	return u.Host, strings.TrimRight(u.EscapedPath(), "/"), nil
}
