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
	// settleTime is the time between a change of the fleet and a measurement.
	settleTime = 2 * time.Second
	// configTimeout bounds the time until a configuration change is in force.
	configTimeout = 20 * time.Second
	configPoll    = 5 * time.Millisecond
)

var (
	entryBytesBySidecars   = quantity{"entry-idle-bytes-by-sidecars", "sidecars attached to the entry instance", "bytes per second"}
	entryCPUBySidecars     = quantity{"entry-idle-cpu-by-sidecars", "sidecars attached to the entry instance", "processor seconds per second"}
	entryFramesBySidecars  = quantity{"entry-idle-frames-by-sidecars", "sidecars attached to the entry instance", "frames per second"}
	sidecarBytesBySidecars = quantity{"sidecar-idle-bytes-by-sidecars", "sidecars in the fleet", "bytes per second"}
	sidecarCPUBySidecars   = quantity{"sidecar-idle-cpu-by-sidecars", "sidecars in the fleet", "processor seconds per second"}
	configTimeByProcesses  = quantity{"config-time-by-processes", "processes", "seconds until in force everywhere"}

	entryBytesByPeers         = quantity{"entry-idle-bytes-by-entries", "other entry instances, no sidecars", "bytes per second"}
	entryCPUByPeers           = quantity{"entry-idle-cpu-by-entries", "other entry instances, no sidecars", "processor seconds per second"}
	sidecarBytesByAttachments = quantity{"sidecar-idle-bytes-by-attachments", "entry instances attached to", "bytes per second"}
	sidecarCPUByAttachments   = quantity{"sidecar-idle-cpu-by-attachments", "entry instances attached to", "processor seconds per second"}
	storeReadsByEntries       = quantity{"store-reads-by-entries", "entry instances", "reads per second, started watches included"}
	storeWritesByEntries      = quantity{"store-writes-by-entries", "entry instances", "writes per second"}
	storeWatchesByEntries     = quantity{"store-watches-by-entries", "entry instances", "waiting watches"}
)

// measureSidecars adds sidecars to a fixed number of entry instances and measures
// the idle fleet and the time of a configuration change.
func (exp *experiment) measureSidecars(f *fleet) error {
	for _, n := range exp.sizes.sidecars {
		if err := f.growTo(len(f.entries), n); err != nil {
			return err
		}
		time.Sleep(settleTime)
		rates, err := f.measure(func() { time.Sleep(exp.sizes.window) })
		if err != nil {
			return err
		}
		at := f.sidecarsPerEntry()
		exp.add(entryBytesBySidecars, at, rates.entry.bytes)
		exp.add(entryCPUBySidecars, at, rates.entry.cpu)
		exp.add(entryFramesBySidecars, at, rates.entry.frames)
		exp.add(sidecarBytesBySidecars, float64(n), rates.sidecar.bytes)
		exp.add(sidecarCPUBySidecars, float64(n), rates.sidecar.cpu)
		for range exp.sizes.edits {
			elapsed, err := f.measureEdit(exp.nextEdit())
			if err != nil {
				return err
			}
			exp.add(configTimeByProcesses, float64(len(f.entries)+n), elapsed.Seconds())
		}
	}
	return nil
}

// nextEdit returns the number of the next edit.
func (exp *experiment) nextEdit() int { exp.edits++; return exp.edits }

// measureEdit changes a team through the Resource API and returns the time from
// the request until the change is in force at every process.
func (f *fleet) measureEdit(n int) (time.Duration, error) {
	body := fmt.Sprintf(`{"metadata":{"name":%q},"spec":{"weight":%d}}`, teamName(0), n%9+2)
	url := "http://" + f.entries[0].cfg.OperatorAddress + "/v1/" + string(resource.TypeTeam) + "/" + teamName(0)
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, errors.Trace(err)
	}
	begin := time.Now()
	resp, err := operatorClient.Do(req)
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
		return 0, errors.New("edit: answer without a revision")
	}
	return f.awaitRevision(begin, got.Revision)
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

// awaitRevision polls every process until the revision is in force at all of them
// and returns the time since begin. The resolution of that time is one poll of the
// processes that still use an earlier revision.
func (f *fleet) awaitRevision(begin time.Time, revision uint64) (time.Duration, error) {
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
		var behind []*sidecarProcess
		for _, s := range pending {
			var state sidecar.State
			if err := s.get("/v1/state", &state); err != nil {
				return 0, err
			}
			if state.Revisions.InForce < revision {
				behind = append(behind, s)
			}
		}
		pending = behind
		last = time.Since(begin)
		time.Sleep(configPoll)
	}
	return last, nil
}

// measureEntries adds entry instances without sidecars and measures the idle
// fleet and the calls to the store.
func (exp *experiment) measureEntries(f *fleet) error {
	for _, n := range exp.sizes.entries {
		if err := f.growTo(n, 0); err != nil {
			return err
		}
		time.Sleep(settleTime)
		rates, err := f.measure(func() { time.Sleep(exp.sizes.storeWindow) })
		if err != nil {
			return err
		}
		exp.add(entryBytesByPeers, float64(n-1), rates.entry.bytes)
		exp.add(entryCPUByPeers, float64(n-1), rates.entry.cpu)
		exp.add(storeReadsByEntries, float64(n), rates.reads)
		exp.add(storeWritesByEntries, float64(n), rates.writes)
		exp.add(storeWatchesByEntries, float64(n), float64(f.store.PendingWatches()))
	}
	return nil
}

// measureAttachments measures idle sidecars that are attached to one, two and
// three entry instances.
func (exp *experiment) measureAttachments(f *fleet) error {
	for n := 1; n <= sidecar.DefaultAttachments; n++ {
		if err := f.growTo(n, exp.sizes.sidecars[0]); err != nil {
			return err
		}
		time.Sleep(settleTime)
		rates, err := f.measure(func() { time.Sleep(exp.sizes.window) })
		if err != nil {
			return err
		}
		exp.add(sidecarBytesByAttachments, float64(n), rates.sidecar.bytes)
		exp.add(sidecarCPUByAttachments, float64(n), rates.sidecar.cpu)
	}
	return nil
}

// queuedTasks returns the number of queued tasks of an entry instance.
func queuedTasks(s entry.Stats) int {
	n := 0
	for _, c := range s.Classes {
		n += c.Queued
	}
	return n
}
