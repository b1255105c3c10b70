package slopes

import (
	"fmt"
	"io"
	"strings"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/sidecar"
)

// Budgets of the control traffic at one node from design section 1.4: cores, bytes
// of memory and bytes per second. The budgets of the store, in calls per second,
// are from section 1.5.
const (
	cpuBudget        = 0.01
	memoryBudget     = 256 << 20
	networkBudget    = 20_000
	storeWriteBudget = 300
	storeReadBudget  = 2000
)

const (
	secondsPerDay = 86_400
	// windowSeconds is the length of a submission window. answerWindows and
	// ledgerWindows are the numbers of windows for which entry instances keep
	// answers and sidecars keep ledger entries.
	windowSeconds, answerWindows, ledgerWindows = 60, 15, 16
)

// designDocumentBytes is the encoded size of a document with 110 teams that have
// quotas and 256 remembered changes.
const designDocumentBytes = 34_000

// FleetSize describes the size and the load of a deployment.
type FleetSize struct {
	// Workers, Entries and Teams are counted over all regions.
	Workers, Entries, Teams float64
	// Starts is the peak rate of task starts per second, JobTasks the number of
	// tasks per job.
	Starts, JobTasks float64
	// Queued is the number of waiting tasks of all entry instances.
	Queued float64
	// Changes is the number of configuration changes per day, Document the size
	// of the configuration document in bytes.
	Changes, Document float64
}

// DesignFleetSize returns the design scale with a number of entry instances.
func DesignFleetSize(entries float64) FleetSize {
	return FleetSize{
		Workers: 910, Entries: entries, Teams: 110, Starts: 76_000, JobTasks: 330,
		Queued: 1_000_000, Changes: 2400, Document: designDocumentBytes,
	}
}

// Figure is one derived quantity.
type Figure struct {
	Name, Formula, Unit string
	Value               float64
	// Budget is the largest allowed value; zero if the design states none.
	Budget float64
}

// Figures calculates the resource use of each role from the fitted lines. It
// returns an error if the report lacks a relation.
func (r *Report) Figures(f FleetSize) ([]Figure, error) {
	l := lookup{rep: r}
	startsPerEntry := f.Starts / f.Entries
	attachedSidecars := f.Workers * min(sidecar.DefaultAttachments, f.Entries) / f.Entries
	editsPerSecond := f.Changes / secondsPerDay
	additionalEntries := f.Entries - float64(sizesOf(r.Short).baseEntries)
	jobsPerEntry := startsPerEntry / f.JobTasks
	cpuPerJob := max(l.slope(entryCPUByJobs)-l.slope(entryCPUByTasks), 0)
	startsPerWorker := f.Starts / f.Workers
	remembered := jobsPerEntry * windowSeconds * answerWindows
	ledgerTasks := startsPerWorker * windowSeconds * ledgerWindows
	documentBytes := editsPerSecond * f.Document * l.slope(sidecarStartBytes)
	out := []Figure{
		{"entry: attached sidecars", "W·k/E", "sidecars", attachedSidecars, 0},
		{"entry: idle control, processor", "a(cpu by sidecars) + b·W·k/E + b(cpu by entries)·(E−3)", "cores",
			l.valueAt(entryCPUBySidecars, attachedSidecars) + max(l.slope(entryCPUByPeers), 0)*additionalEntries, cpuBudget},
		{"entry: idle control, heartbeats", "a(bytes by sidecars) + b·W·k/E + b(bytes by entries)·(E−3)", "B/s",
			l.valueAt(entryBytesBySidecars, attachedSidecars) + l.slope(entryBytesByPeers)*additionalEntries, networkBudget},
		{"entry: limit shares in heartbeats, at most", "b(bytes by teams)·teams·(E−1)", "B/s",
			l.slope(entryBytesByTeams) * f.Teams * (f.Entries - 1), networkBudget},
		{"entry: documents sent", "changes/86400·D·b(start bytes)·W/E", "B/s", documentBytes * f.Workers / f.Entries, networkBudget},
		{"entry: dispatch, processor", "b(cpu by tasks)·S/E + (b(cpu by jobs) − b(cpu by tasks))·S/E/n", "cores",
			l.slope(entryCPUByTasks)*startsPerEntry + cpuPerJob*jobsPerEntry, 0},
		{"entry: dispatch, internal bytes", "b(bytes by tasks)·S/E", "B/s", l.slope(entryBytesByTasks) * startsPerEntry, 0},
		{"entry: queue, resident", "3·b(heap by queued)·Q/E", "B", residentFactor * l.slope(entryHeapByQueuedTasks) * f.Queued / f.Entries, 0},
		{"entry: remembered submissions with bodies", "S/E/n·60·15", "submissions", remembered, 0},
		{"entry: remembered submissions, resident", "3·b(heap by remembered)·S/E/n·60·15", "B",
			residentFactor * l.slope(entryHeapBySubmissions) * remembered, memoryBudget},
		{"entry: teams, resident", "3·b(heap by teams)·teams", "B", residentFactor * l.slope(entryHeapByTeams) * f.Teams, 0},
		{"sidecar: idle control, processor", "a(cpu by attachments) + 3·b", "cores", l.valueAt(sidecarCPUByAttachments, sidecar.DefaultAttachments), cpuBudget},
		{"sidecar: idle control, heartbeats", "a(bytes by attachments) + 3·b", "B/s", l.valueAt(sidecarBytesByAttachments, sidecar.DefaultAttachments), networkBudget},
		{"sidecar: documents received", "changes/86400·D·b(start bytes)", "B/s", documentBytes, networkBudget},
		{"sidecar: tasks, processor", "b(cpu by tasks)·S/W", "cores", l.slope(sidecarCPUByTasks) * startsPerWorker, 0},
		{"sidecar: tasks, internal bytes", "b(bytes by tasks)·S/W", "B/s", l.slope(sidecarBytesByTasks) * startsPerWorker, 0},
		{"sidecar: ledger, resident", "3·b(heap by ledger)·S/W·60·16", "B", residentFactor * l.slope(sidecarHeapByLedger) * ledgerTasks, memoryBudget},
		{"store: writes, calm", "b(writes by entries)·E + 2·changes/86400", "calls/s", l.slope(storeWritesByEntries)*f.Entries + 2*editsPerSecond, storeWriteBudget},
		{"store: reads and waiting watches, calm", "b(reads by entries)·E + E + 2·E·changes/86400", "calls/s",
			(l.slope(storeReadsByEntries) + l.slope(storeWatchesByEntries) + 2*editsPerSecond) * f.Entries, storeReadBudget},
	}
	return out, l.err
}

// residentFactor is the ratio of resident memory to live heap. The garbage
// collector lets the heap grow to twice the live heap, and the measured resident
// memory is up to three times the live heap.
const residentFactor = 3

type lookup struct {
	rep *Report
	err error
}

func (l *lookup) relation(q quantity) Relation {
	for _, r := range l.rep.Relations {
		if r.Name == q.name {
			return r
		}
	}
	l.err = errors.NotFoundf("relation %s", q.name)
	return Relation{}
}

func (l *lookup) slope(q quantity) float64 { return l.relation(q).Slope }

func (l *lookup) valueAt(q quantity, x float64) float64 {
	r := l.relation(q)
	return r.Intercept + r.Slope*x
}

// WriteFigures writes the figures for several fleet sizes as a Markdown table
// with one column per fleet size.
func (r *Report) WriteFigures(w io.Writer, fleets ...FleetSize) error {
	var columns [][]Figure
	header, separator := "| figure | formula | unit | budget |", "|---|---|---|---|"
	for _, f := range fleets {
		figures, err := r.Figures(f)
		if err != nil {
			return err
		}
		columns = append(columns, figures)
		header += fmt.Sprintf(" E = %.0f, n = %.0f |", f.Entries, f.JobTasks)
		separator += "---|"
	}
	rows := []string{header, separator}
	for i, first := range columns[0] {
		row := fmt.Sprintf("| %s | %s | %s | %s |", first.Name, first.Formula, first.Unit, formatNumber(first.Budget))
		for _, c := range columns {
			row += " " + formatNumber(c[i].Value)
			if c[i].Budget > 0 && c[i].Value > c[i].Budget {
				row += " **over**"
			}
			row += " |"
		}
		rows = append(rows, row)
	}
	_, err := io.WriteString(w, strings.Join(rows, "\n")+"\n")
	return errors.Annotate(err, "write the figures")
}

// formatNumber formats a value with three significant digits and a decimal
// prefix, and zero as a dash.
func formatNumber(v float64) string {
	switch {
	case v == 0:
		return "–"
	case v >= 1e9:
		return fmt.Sprintf("%.3g G", v/1e9)
	case v >= 1e6:
		return fmt.Sprintf("%.3g M", v/1e6)
	case v >= 1e3:
		return fmt.Sprintf("%.3g k", v/1e3)
	}
	return fmt.Sprintf("%.3g", v)
}
