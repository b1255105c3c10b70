package dispatch

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/cardamomturn/cardamomturn/internal/jobapi"
)

// taskAnswerOverheadBytes is the memory that one task answer takes in addition
// to its result and its error text.
const taskAnswerOverheadBytes = 96

// history holds the admitted and the refused submissions of recent windows.
type history struct {
	windows map[uint64]*windowHistory
	// retained[head:] lists the answered jobs whose task results are retained,
	// oldest first. bytes is the total size of their task answers.
	retained []*job
	head     int
	bytes    int64
	maxBytes int64
}

// windowHistory holds the submissions of one window.
type windowHistory struct {
	jobs    []*job
	refused refusals
}

func newHistory(maxBytes int64) history {
	return history{windows: map[uint64]*windowHistory{}, maxBytes: maxBytes}
}

func (h *history) window(w uint64) *windowHistory {
	wh := h.windows[w]
	if wh == nil {
		wh = &windowHistory{}
		h.windows[w] = wh
	}
	return wh
}

func (h *history) recordRefusal(window uint64, id string, reason jobapi.Reason) {
	h.window(window).refused.add(id, reason)
}

func (h *history) refusalReason(window uint64, id string) (jobapi.Reason, bool) {
	wh := h.windows[window]
	if wh == nil {
		return "", false
	}
	return wh.refused.reason(id)
}

// retain adds an answered job. While the size exceeds maxBytes, it drops the
// results of the oldest jobs.
func (h *history) retain(j *job) {
	for i := range j.answer.Tasks {
		t := &j.answer.Tasks[i]
		j.answerBytes += taskAnswerOverheadBytes + int64(len(t.Result)+len(t.Error))
	}
	h.bytes += j.answerBytes
	h.retained = append(h.retained, j)
	for h.head < len(h.retained) && (h.bytes > h.maxBytes || h.retained[h.head].answerBytes == 0) {
		h.dropResults(h.retained[h.head])
		h.retained[h.head] = nil
		h.head++
	}
	if h.head > len(h.retained)/2 {
		h.retained = append(h.retained[:0:0], h.retained[h.head:]...)
		h.head = 0
	}
}

// dropResults replaces the task answers of an answered job by the task states.
func (h *history) dropResults(j *job) {
	if j.answerBytes == 0 {
		return
	}
	j.states = make([]state, len(j.answer.Tasks))
	for i := range j.answer.Tasks {
		j.states[i] = stateOf(j.answer.Tasks[i].State)
	}
	h.freeTaskAnswers(j)
}

// freeTaskAnswers frees the task answers of a job.
func (h *history) freeTaskAnswers(j *job) {
	h.bytes -= j.answerBytes
	j.answerBytes, j.answer.Tasks = 0, nil
}

func stateOf(s jobapi.TaskState) state {
	for i, n := range taskStates {
		if n == s {
			return state(i)
		}
	}
	return mayHaveRun
}

// recordJob records an admitted job under its ID and its window.
func (m *Machine) recordJob(j *job) {
	m.jobs[j.id] = j
	wh := m.history.window(j.window)
	wh.jobs = append(wh.jobs, j)
}

// forgetOldWindows forgets the submissions of windows older than RetainWindows,
// except for unanswered jobs, and the refusals of those older than AcceptWindows: no new job may
// have their IDs.
func (m *Machine) forgetOldWindows() {
	for w, wh := range m.history.windows {
		if w+m.cfg.AcceptWindows < m.window {
			wh.refused = refusals{}
		}
		if w+m.cfg.RetainWindows >= m.window {
			continue
		}
		unanswered := wh.jobs[:0]
		for _, j := range wh.jobs {
			if !j.answered {
				unanswered = append(unanswered, j)
				continue
			}
			m.history.freeTaskAnswers(j)
			delete(m.jobs, j.id)
		}
		wh.jobs = unanswered
		if len(unanswered) == 0 {
			delete(m.history.windows, w)
		}
	}
}

// hashRequest returns a hash of all fields of a request except its submission ID.
func hashRequest(req *jobapi.JobRequest) uint64 {
	var d xxhash.Digest
	d.Reset()
	buf := make([]byte, 0, 64)
	writeString := func(s string) {
		buf = binary.LittleEndian.AppendUint64(buf[:0], uint64(len(s)))
		_, _ = d.Write(buf)
		_, _ = d.WriteString(s)
	}
	writeString(req.Team)
	writeString(req.Kind)
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
