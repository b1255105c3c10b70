package slopes

import (
	"fmt"
	"io"
	"strings"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/sidecar"
)

// Budgets of design section 1.4 for control at one node, and the store's
// rates of section 1.5.
const (
	budgetCPU    = 0.01
	budgetMemory = 256 << 20
	budgetBytes  = 20_000
	budgetWrites = 300
	budgetReads  = 2000
)

const (
	secondsPerDay = 86_400
	// windowSeconds is the length of a submission window, and the memory
	// windows are those for which answers and ledger entries are kept.
	windowSeconds, answerWindows, ledgerWindows = 60, 15, 16
)

// designDocument is the encoded size of a document with 110 teams with quotas
// and 256 remembered changes, in bytes.
const designDocument = 34_000

// Fleet is the size of a deployment.
type Fleet struct {
	// Workers, Entries and Teams are counted over all regions.
	Workers, Entries, Teams float64
	// Starts is the peak of task starts per second, JobTasks the tasks per job.
	Starts, JobTasks float64
	// Queued is the number of waiting tasks of all entry instances.
	Queued float64
	// Changes is the number of configuration changes per day, Document the size
	// of the configuration document in bytes.
	Changes, Document float64
}

// DesignFleet is the design scale with a number of entry instances.
func DesignFleet(entries float64) Fleet {
	return Fleet{
		Workers: 910, Entries: entries, Teams: 110, Starts: 76_000, JobTasks: 330,
		Queued: 1_000_000, Changes: 2400, Document: designDocument,
	}
}

// Figure is one derived quantity.
type Figure struct {
	Name, Formula, Unit string
	Value               float64
	// Budget is the largest allowed value; zero if the design states none.
	Budget float64
}

// Figures derives the use at each role from the measured lines. An error means
// that the report lacks a relation.
func (r *Report) Figures(f Fleet) ([]Figure, error) {
	l := lookup{rep: r}
	perEntry := f.Starts / f.Entries
	attached := f.Workers * min(sidecar.DefaultAttachments, f.Entries) / f.Entries
	edits := f.Changes / secondsPerDay
	others := f.Entries - float64(sizesOf(r.Short).firstEntries)
	jobs := perEntry / f.JobTasks
	perJobCPU := max(l.slope(entryCPUByJob)-l.slope(entryCPUByTask), 0)
	perWorker := f.Starts / f.Workers
	remembered := jobs * windowSeconds * answerWindows
	ledger := perWorker * windowSeconds * ledgerWindows
	pulls := edits * f.Document * l.slope(carStartBytes)
	out := []Figure{
		{"entry: attached sidecars", "W·k/E", "sidecars", attached, 0},
		{"entry: idle control, processor", "a(cpu by sidecars) + b·W·k/E + b(cpu by entries)·(E−3)", "cores",
			l.at(entryCPUByCars, attached) + max(l.slope(entryCPUByPeers), 0)*others, budgetCPU},
		{"entry: idle control, heartbeats", "a(bytes by sidecars) + b·W·k/E + b(bytes by entries)·(E−3)", "B/s",
			l.at(entryBytesByCars, attached) + l.slope(entryBytesByPeers)*others, budgetBytes},
		{"entry: limit shares in heartbeats, at most", "b(bytes by teams)·teams·(E−1)", "B/s",
			l.slope(bytesByTeams) * f.Teams * (f.Entries - 1), budgetBytes},
		{"entry: documents sent", "changes/86400·D·b(start bytes)·W/E", "B/s", pulls * f.Workers / f.Entries, budgetBytes},
		{"entry: dispatch, processor", "b(cpu by tasks)·S/E + (b(cpu by jobs) − b(cpu by tasks))·S/E/n", "cores",
			l.slope(entryCPUByTask)*perEntry + perJobCPU*jobs, 0},
		{"entry: dispatch, internal bytes", "b(bytes by tasks)·S/E", "B/s", l.slope(entryBytesByTask) * perEntry, 0},
		{"entry: queue, resident", "3·b(heap by queued)·Q/E", "B", residentFactor * l.slope(heapByQueue) * f.Queued / f.Entries, 0},
		{"entry: remembered submissions with bodies", "S/E/n·60·15", "submissions", remembered, 0},
		{"entry: remembered submissions, resident", "3·b(heap by remembered)·S/E/n·60·15", "B",
			residentFactor * l.slope(heapByJobs) * remembered, budgetMemory},
		{"entry: teams, resident", "3·b(heap by teams)·teams", "B", residentFactor * l.slope(heapByTeams) * f.Teams, 0},
		{"sidecar: idle control, processor", "a(cpu by attachments) + 3·b", "cores", l.at(carCPUByEntries, sidecar.DefaultAttachments), budgetCPU},
		{"sidecar: idle control, heartbeats", "a(bytes by attachments) + 3·b", "B/s", l.at(carBytesByEntries, sidecar.DefaultAttachments), budgetBytes},
		{"sidecar: documents received", "changes/86400·D·b(start bytes)", "B/s", pulls, budgetBytes},
		{"sidecar: tasks, processor", "b(cpu by tasks)·S/W", "cores", l.slope(carCPUByTask) * perWorker, 0},
		{"sidecar: tasks, internal bytes", "b(bytes by tasks)·S/W", "B/s", l.slope(carBytesByTask) * perWorker, 0},
		{"sidecar: ledger, resident", "3·b(heap by ledger)·S/W·60·16", "B", residentFactor * l.slope(heapByLedger) * ledger, budgetMemory},
		{"store: writes, calm", "b(writes by entries)·E + 2·changes/86400", "calls/s", l.slope(storeWrites)*f.Entries + 2*edits, budgetWrites},
		{"store: reads and waiting watches, calm", "b(reads by entries)·E + E + 2·E·changes/86400", "calls/s",
			(l.slope(storeReads) + l.slope(storeWatches) + 2*edits) * f.Entries, budgetReads},
	}
	return out, l.err
}

// residentFactor is the resident memory per live heap byte: the garbage
// collector lets the heap double, and the measured resident memory is up to
// three times the live heap.
const residentFactor = 3

type lookup struct {
	rep *Report
	err error
}

func (l *lookup) line(q quantity) Relation {
	for _, r := range l.rep.Relations {
		if r.Name == q.name {
			return r
		}
	}
	l.err = errors.NotFoundf("relation %s", q.name)
	return Relation{}
}

func (l *lookup) slope(q quantity) float64 { return l.line(q).Slope }

func (l *lookup) at(q quantity, x float64) float64 {
	r := l.line(q)
	return r.Intercept + r.Slope*x
}

// WriteFleets writes the derived figures for several numbers of entry
// instances as a Markdown table.
func (r *Report) WriteFleets(w io.Writer, fleets ...Fleet) error {
	var columns [][]Figure
	head, rule := "| figure | formula | unit | budget |", "|---|---|---|---|"
	for _, f := range fleets {
		figures, err := r.Figures(f)
		if err != nil {
			return err
		}
		columns = append(columns, figures)
		head += fmt.Sprintf(" E = %.0f, n = %.0f |", f.Entries, f.JobTasks)
		rule += "---|"
	}
	rows := []string{head, rule}
	for i, first := range columns[0] {
		row := fmt.Sprintf("| %s | %s | %s | %s |", first.Name, first.Formula, first.Unit, number(first.Budget))
		for _, c := range columns {
			row += " " + number(c[i].Value)
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

// number formats a value with three digits and a decimal prefix.
func number(v float64) string {
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
