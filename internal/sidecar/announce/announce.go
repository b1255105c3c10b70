// Package announce defines the announcement by which a backend server tells
// its sidecar that it takes work.
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
	// MaxBody is the largest body in bytes.
	MaxBody = 16 << 10
	// MaxSlots bounds the slots of one backend server.
	MaxSlots = 4096
	// MaxConnections bounds the connections to one backend server.
	MaxConnections = 65536
	// MaxLease is the longest lease.
	MaxLease = 10 * time.Minute
	// maxText bounds names in bytes.
	maxText = 255
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
	// Zone and Rack are those of the sidecar if empty.
	Zone  string `json:"zone,omitempty"`
	Rack  string `json:"rack,omitempty"`
	Slots int    `json:"slots"`
	// Connections is the connection limit; zero means as many as slots.
	Connections int `json:"connections,omitempty"`
	// Processors is a number of cores.
	Processors   float64 `json:"processors,omitempty"`
	MemoryMB     int64   `json:"memoryMB,omitempty"`
	Accelerators int     `json:"accelerators,omitempty"`
	// LeaseSeconds is the time after which the announcement lapses.
	LeaseSeconds float64 `json:"leaseSeconds"`
}

// Leave is the body of POST /v1/leave.
type Leave struct {
	Name string `json:"name"`
}

// Lease returns the time after which the announcement lapses.
func (a *Announcement) Lease() time.Duration {
	return time.Duration(a.LeaseSeconds * float64(time.Second))
}

// Backend returns the announcement as a message between own processes.
func (a *Announcement) Backend() *wire.Backend {
	return &wire.Backend{
		Name: a.Name, Address: a.Address, Service: a.Service, Zone: a.Zone, Rack: a.Rack, Slots: a.Slots,
		Size:           jobapi.Size{CPUs: a.Processors, MemoryMB: a.MemoryMB, Accelerators: a.Accelerators},
		MaxConnections: a.Connections,
	}
}

// Parse parses and validates an announcement and fills in defaults. Errors
// satisfy errors.IsNotValid.
func Parse(body []byte) (*Announcement, error) {
	a := &Announcement{}
	if err := strict(body, a); err != nil {
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
	if err := strict(body, l); err != nil {
		return nil, err
	}
	if !ident.ValidName(l.Name, maxText) {
		return nil, errors.NotValidf("name %.80q", l.Name)
	}
	return l, nil
}

func strict(body []byte, v any) error {
	if len(body) > MaxBody {
		return errors.NotValidf("body of %d bytes, allowed %d", len(body), MaxBody)
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return errors.NewNotValid(err, "body")
	}
	if _, err := dec.Token(); err != io.EOF {
		return errors.NotValidf("data after the JSON body")
	}
	return nil
}

func (a *Announcement) validate() error {
	if !ident.ValidName(a.Name, maxText) {
		return errors.NotValidf("name %.80q", a.Name)
	}
	if !ident.ValidName(a.Service, maxText) {
		return errors.NotValidf("service %.80q", a.Service)
	}
	if len(a.Zone) > maxText || len(a.Rack) > maxText {
		return errors.NotValidf("zone or rack longer than %d bytes", maxText)
	}
	if a.Slots < 1 || a.Slots > MaxSlots {
		return errors.NotValidf("slots %d, want 1 to %d", a.Slots, MaxSlots)
	}
	if a.Connections < 1 || a.Connections > MaxConnections {
		return errors.NotValidf("connections %d, want 1 to %d", a.Connections, MaxConnections)
	}
	if !(a.Processors >= 0) || math.IsInf(a.Processors, 0) || a.MemoryMB < 0 || a.Accelerators < 0 {
		return errors.NotValidf("negative size")
	}
	if !(a.LeaseSeconds > 0) || a.LeaseSeconds > MaxLease.Seconds() {
		return errors.NotValidf("leaseSeconds %v, want above 0 and at most %v", a.LeaseSeconds, MaxLease.Seconds())
	}
	_, _, err := SplitAddress(a.Address)
	return err
}

// SplitAddress returns the host with port, and the base path without a
// closing slash, of a backend server's address. Errors satisfy
// errors.IsNotValid.
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
