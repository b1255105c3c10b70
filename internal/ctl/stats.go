package ctl

import (
	"fmt"
	"sort"

	"github.com/urfave/cli/v2"

	"github.com/cardamomturn/cardamomturn/internal/entry"
	"github.com/cardamomturn/cardamomturn/internal/metrics"
	"github.com/cardamomturn/cardamomturn/internal/resource"
)

func (p *program) statsCommand() *cli.Command {
	return &cli.Command{
		Name:      "stats",
		Usage:     "show the work, the waste and the times of one entry instance",
		UsageText: "cardamomctl stats",
		Action:    p.stats,
	}
}

func (p *program) stats(c *cli.Context) error {
	if c.NArg() != 0 {
		return usageErrorf("stats takes no arguments")
	}
	var s entry.Stats
	if err := p.newClient().getJSON("/v1/stats", &s); err != nil {
		return err
	}
	sort.Slice(s.Classes, func(i, j int) bool {
		a, b := s.Classes[i], s.Classes[j]
		return a.Team < b.Team || a.Team == b.Team && a.Kind < b.Kind
	})
	sort.Slice(s.Times, func(i, j int) bool {
		a, b := s.Times[i], s.Times[j]
		return a.Team < b.Team || a.Team == b.Team && a.Kind < b.Kind
	})
	if p.output == outputJSON {
		return p.printJSON(s)
	}
	state := "serving"
	if s.Draining {
		state = "draining"
	}
	fmt.Fprintf(p.Out, "entry %s: %s, %d sidecars, %d peers, internal bytes %d sent, %d received\n",
		s.Entry.Process, state, s.Sidecars, s.Peers, s.InternalBytes.Sent, s.InternalBytes.Received)
	for _, rows := range [][][]string{classRows(s.Classes), wasteRows(s), timeRows(s.Times)} {
		fmt.Fprintln(p.Out)
		if err := p.printTable(rows); err != nil {
			return err
		}
	}
	return nil
}

// classRows returns the current and total numbers of each class. Queued, Running
// and Starts count tasks; Completed, Failed and Refused count jobs.
func classRows(classes []entry.ClassStats) [][]string {
	rows := [][]string{{"TEAM", "KIND", "QUEUED", "RUNNING", "STARTS", "JOBS COMPLETED", "JOBS FAILED", "JOBS REFUSED"}}
	for _, c := range classes {
		rows = append(rows, []string{c.Team, c.Kind, fmt.Sprint(c.Queued), fmt.Sprint(c.Running), fmt.Sprint(c.Starts),
			fmt.Sprint(c.Completed), fmt.Sprint(c.Failed), formatCounts(c.Refused)})
	}
	return rows
}

// wasteRows returns the numbers of messages and credits that did not contribute
// to the run of a task.
func wasteRows(s entry.Stats) [][]string {
	w := s.Waste
	return [][]string{
		{"WASTE", "REFUSED STARTS", "EMPTY RECALLS", "RETURNED CREDITS", "DEMAND MESSAGES", "FENCES", "DUPLICATES", "EXPIRED CREDITS"},
		{"", fmt.Sprint(w.RefusedStarts), fmt.Sprint(w.EmptyRecalls), fmt.Sprint(w.ReturnedCredits), fmt.Sprint(w.DemandMessages),
			fmt.Sprint(w.Fences), fmt.Sprint(w.Duplicates), fmt.Sprint(w.ExpiredCredits)},
	}
}

func timeRows(times []metrics.ClassStats) [][]string {
	rows := [][]string{{"TEAM", "KIND", "TIME", "COUNT", "MEAN", "P50", "P90", "P99", "MAX", "1ms..30s"}}
	for _, t := range times {
		rows = append(rows, histogramRow(t, "job response", t.Response), histogramRow(t, "task run", t.Run), histogramRow(t, "queue wait", t.Wait))
	}
	return rows
}

func histogramRow(c metrics.ClassStats, name string, h resource.Histogram) []string {
	return []string{c.Team, c.Kind, name, fmt.Sprint(h.Count), formatMs(h.Mean), formatMs(h.P50), formatMs(h.P90), formatMs(h.P99), formatMs(h.Max), "|" + sparkline(h.Buckets) + "|"}
}
