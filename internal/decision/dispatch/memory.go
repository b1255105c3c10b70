package dispatch

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/cardamomturn/cardamomturn/internal/jobapi"
)

// taskBytes is the memory that one kept task answer takes besides its bodies.
const taskBytes = 96

// memory is what is kept of ended and refused submissions.
type memory struct {
	windows map[uint64]*windowMemory
	// kept are answered jobs with their bodies, the oldest at head.
	kept  []*job
	head  int
	bytes int64
	bound int64
}

// windowMemory is what is kept of the submissions of one window.
type windowMemory struct {
	jobs []*job
	// refused maps the hash of a refused ID to its reason. Refusals can come
	// by the million in an overload, so the ID itself is not kept; two IDs
	// with one hash make one job refused that was not, and that one is truly
	// not run.
	refused map[uint64]jobapi.Reason
}

func newMemory(bound int64) memory {
	return memory{windows: map[uint64]*windowMemory{}, bound: bound}
}

func (m *memory) window(w uint64) *windowMemory {
	wm := m.windows[w]
	if wm == nil {
		wm = &windowMemory{refused: map[uint64]jobapi.Reason{}}
		m.windows[w] = wm
	}
	return wm
}

func (m *memory) refuse(window uint64, id string, reason jobapi.Reason) {
	m.window(window).refused[xxhash.Sum64String(id)] = reason
}

func (m *memory) refused(window uint64, id string) (jobapi.Reason, bool) {
	wm := m.windows[window]
	if wm == nil {
		return "", false
	}
	r, ok := wm.refused[xxhash.Sum64String(id)]
	return r, ok
}

// keep adds an answered job and drops the bodies of the oldest ones when the
// bound is exceeded.
func (m *memory) keep(j *job) {
	for i := range j.answer.Tasks {
		t := &j.answer.Tasks[i]
		j.bytes += taskBytes + int64(len(t.Result)+len(t.Error))
	}
	m.bytes += j.bytes
	m.kept = append(m.kept, j)
	for m.head < len(m.kept) && (m.bytes > m.bound || m.kept[m.head].bytes == 0) {
		m.drop(m.kept[m.head])
		m.kept[m.head] = nil
		m.head++
	}
	if m.head > len(m.kept)/2 {
		m.kept = append(m.kept[:0:0], m.kept[m.head:]...)
		m.head = 0
	}
}

// drop keeps only the task states of an answered job.
func (m *memory) drop(j *job) {
	if j.bytes == 0 {
		return
	}
	j.states = make([]state, len(j.answer.Tasks))
	for i := range j.answer.Tasks {
		j.states[i] = stateOf(j.answer.Tasks[i].State)
	}
	m.release(j)
}

// release frees the task answers of a job.
func (m *memory) release(j *job) {
	m.bytes -= j.bytes
	j.bytes, j.answer.Tasks = 0, nil
}

func stateOf(s jobapi.TaskState) state {
	for i, n := range names {
		if n == s {
			return state(i)
		}
	}
	return mayHaveRun
}

// remember files an accepted job under its window.
func (m *Machine) remember(j *job) {
	m.jobs[j.id] = j
	wm := m.memory.window(j.window)
	wm.jobs = append(wm.jobs, j)
}

// expire forgets the submissions whose window is too old, except for jobs that
// are not answered yet.
func (m *Machine) expire() {
	for w, wm := range m.memory.windows {
		if w+m.cfg.RetainWindows >= m.window {
			continue
		}
		open := wm.jobs[:0]
		for _, j := range wm.jobs {
			if !j.final {
				open = append(open, j)
				continue
			}
			m.memory.release(j)
			delete(m.jobs, j.id)
		}
		wm.jobs = open
		if len(open) == 0 {
			delete(m.memory.windows, w)
		}
	}
}

// hashRequest returns a hash of all that makes two requests differ.
func hashRequest(req *jobapi.JobRequest) uint64 {
	var d xxhash.Digest
	d.Reset()
	buf := make([]byte, 0, 64)
	text := func(s string) {
		buf = binary.LittleEndian.AppendUint64(buf[:0], uint64(len(s)))
		_, _ = d.Write(buf)
		_, _ = d.WriteString(s)
	}
	text(req.Team)
	text(req.Kind)
	buf = binary.LittleEndian.AppendUint64(buf[:0], uint64(req.DeadlineMs))
	_, _ = d.Write(buf)
	for i := range req.Tasks {
		t := &req.Tasks[i]
		buf = binary.LittleEndian.AppendUint64(buf[:0], uint64(t.RunMs))
		buf = binary.LittleEndian.AppendUint64(buf, math.Float64bits(t.Size.CPUs))
		buf = binary.LittleEndian.AppendUint64(buf, uint64(t.Size.MemoryMB))
		buf = binary.LittleEndian.AppendUint64(buf, uint64(t.Size.Accelerators))
		buf = binary.LittleEndian.AppendUint64(buf, uint64(len(t.Payload)))
		_, _ = d.Write(buf)
		_, _ = d.Write(t.Payload)
	}
	return d.Sum64()
}
