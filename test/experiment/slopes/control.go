package slopes

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/entry"
	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/internal/resourceapi"
	"github.com/cardamomturn/cardamomturn/internal/sidecar"
)

const (
	// settle is the time after a change of the fleet before a measurement; it
	// is longer than the time after which a sidecar grants to an entry
	// instance that nobody vouches for.
	settle = 2 * time.Second
	// configTimeout bounds the time until a change is in force.
	configTimeout = 20 * time.Second
	configPoll    = 5 * time.Millisecond
)

var (
	entryBytesByCars = quantity{"entry-idle-bytes-by-sidecars", "sidecars attached to the entry instance", "bytes per second"}
	entryCPUByCars   = quantity{"entry-idle-cpu-by-sidecars", "sidecars attached to the entry instance", "processor seconds per second"}
	entryFramesByCar = quantity{"entry-idle-frames-by-sidecars", "sidecars attached to the entry instance", "frames per second"}
	carBytesByCars   = quantity{"sidecar-idle-bytes-by-sidecars", "sidecars in the fleet", "bytes per second"}
	carCPUByCars     = quantity{"sidecar-idle-cpu-by-sidecars", "sidecars in the fleet", "processor seconds per second"}
	configByProcs    = quantity{"config-time-by-processes", "processes", "seconds until in force everywhere"}

	entryBytesByPeers = quantity{"entry-idle-bytes-by-entries", "other entry instances, no sidecars", "bytes per second"}
	entryCPUByPeers   = quantity{"entry-idle-cpu-by-entries", "other entry instances, no sidecars", "processor seconds per second"}
	carBytesByEntries = quantity{"sidecar-idle-bytes-by-attachments", "entry instances attached to", "bytes per second"}
	carCPUByEntries   = quantity{"sidecar-idle-cpu-by-attachments", "entry instances attached to", "processor seconds per second"}
	storeReads        = quantity{"store-reads-by-entries", "entry instances", "reads per second, started watches included"}
	storeWrites       = quantity{"store-writes-by-entries", "entry instances", "writes per second"}
	storeWatches      = quantity{"store-watches-by-entries", "entry instances", "waiting watches"}
)

// measureSidecars grows the sidecars beside a fixed number of entry instances
// and measures the idle fleet and the time of a configuration change.
func (r *run) measureSidecars(f *fleet) error {
	for _, n := range r.sizes.sidecars {
		if err := f.grow(len(f.entries), n); err != nil {
			return err
		}
		time.Sleep(settle)
		u, err := f.during(func() { time.Sleep(r.sizes.window) })
		if err != nil {
			return err
		}
		at := f.attached()
		r.add(entryBytesByCars, at, u.entry.bytes)
		r.add(entryCPUByCars, at, u.entry.cpu)
		r.add(entryFramesByCar, at, u.entry.frames)
		r.add(carBytesByCars, float64(n), u.sidecar.bytes)
		r.add(carCPUByCars, float64(n), u.sidecar.cpu)
		for range r.sizes.edits {
			took, err := f.edit(r.revisionOf())
			if err != nil {
				return err
			}
			r.add(configByProcs, float64(len(f.entries)+n), took.Seconds())
		}
	}
	return nil
}

// revisionOf returns a number for the next edit.
func (r *run) revisionOf() int { r.edits++; return r.edits }

// edit changes a team over the Resource API and returns the time from the
// request until every process has the change in force.
func (f *fleet) edit(n int) (time.Duration, error) {
	body := fmt.Sprintf(`{"metadata":{"name":%q},"spec":{"weight":%d}}`, teamName(0), n%9+2)
	url := "http://" + f.entries[0].cfg.OperatorAddress + "/v1/" + string(resource.TypeTeam) + "/" + teamName(0)
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, errors.Trace(err)
	}
	begin := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return 0, errors.Annotate(err, "edit")
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return 0, errors.Errorf("edit: status %d", resp.StatusCode)
	}
	var got resourceapi.EditResult
	if err := json.NewDecoder(resp.Body).Decode(&got); err != nil {
		return 0, errors.Annotate(err, "edit")
	}
	if got.Revision == 0 {
		return 0, errors.New("edit without a revision")
	}
	return f.inForce(begin, got.Revision)
}

// revision returns the configuration revision in force at the entry instance.
func (e *entryProcess) revision() (uint64, error) {
	var list struct {
		Items []resourceapi.Process `json:"items"`
	}
	if err := e.get("/v1/processes", &list); err != nil {
		return 0, err
	}
	for _, p := range list.Items {
		if p.Process.Instance == e.cfg.Instance {
			return p.InForce, nil
		}
	}
	return 0, errors.NotFoundf("%s among its processes", e.cfg.Instance)
}

// inForce asks every process until all have the revision in force. A round
// over the processes that lack it bounds the resolution.
func (f *fleet) inForce(begin time.Time, revision uint64) (time.Duration, error) {
	for _, e := range f.entries {
		for {
			got, err := e.revision()
			if err != nil {
				return 0, err
			}
			if got >= revision {
				break
			}
			if time.Since(begin) > configTimeout {
				return 0, errors.Timeoutf("revision %d at %s", revision, e.cfg.Instance)
			}
			time.Sleep(configPoll)
		}
	}
	pending := f.sidecars
	last := time.Since(begin)
	for len(pending) > 0 {
		if time.Since(begin) > configTimeout {
			return 0, errors.Timeoutf("revision %d at %d processes", revision, len(pending))
		}
		var left []*sidecarProcess
		for _, s := range pending {
			var state sidecar.State
			if err := s.get("/v1/state", &state); err != nil {
				return 0, err
			}
			if state.Revisions.InForce < revision {
				left = append(left, s)
			}
		}
		pending = left
		last = time.Since(begin)
		time.Sleep(configPoll)
	}
	return last, nil
}

// measureEntries grows the entry instances, first without sidecars, and
// measures the idle fleet and the store's calls.
func (r *run) measureEntries(f *fleet) error {
	for _, n := range r.sizes.entries {
		if err := f.grow(n, 0); err != nil {
			return err
		}
		time.Sleep(settle)
		u, err := f.during(func() { time.Sleep(r.sizes.storeWindow) })
		if err != nil {
			return err
		}
		r.add(entryBytesByPeers, float64(n-1), u.entry.bytes)
		r.add(entryCPUByPeers, float64(n-1), u.entry.cpu)
		r.add(storeReads, float64(n), u.reads)
		r.add(storeWrites, float64(n), u.writes)
		r.add(storeWatches, float64(n), float64(f.store.PendingWatches()))
	}
	return nil
}

// measureAttachments measures sidecars that are attached to one, two and
// three entry instances.
func (r *run) measureAttachments(f *fleet) error {
	for n := 1; n <= sidecar.DefaultAttachments; n++ {
		if err := f.grow(n, r.sizes.sidecars[0]); err != nil {
			return err
		}
		time.Sleep(settle)
		u, err := f.during(func() { time.Sleep(r.sizes.window) })
		if err != nil {
			return err
		}
		r.add(carBytesByEntries, float64(n), u.sidecar.bytes)
		r.add(carCPUByEntries, float64(n), u.sidecar.cpu)
	}
	return nil
}

// queued sums up the waiting tasks of an entry instance.
func queued(s entry.Stats) int {
	n := 0
	for _, c := range s.Classes {
		n += c.Queued
	}
	return n
}
