package ctl

import (
	"fmt"
	"time"

	"github.com/urfave/cli/v2"
)

func (p *program) describeCommand() *cli.Command {
	return &cli.Command{
		Name:      "describe",
		Usage:     "show one resource with its status and conditions",
		UsageText: "cardamomctl describe TYPE NAME",
		Action:    p.describe,
	}
}

func (p *program) describe(c *cli.Context) error {
	t, name, err := parseTypeAndName(c)
	if err != nil {
		return err
	}
	var o object
	if err := p.newClient().getJSON(resourcePath(t, name), &o); err != nil {
		return err
	}
	if p.output == outputJSON {
		return p.printJSON(o)
	}
	rows := [][]string{
		{"Type:", string(t)},
		{"Name:", o.Metadata.Name},
		{"Generation:", fmt.Sprint(o.Metadata.Generation)},
		{"Resource version:", fmt.Sprint(o.Metadata.ResourceVersion)},
		{"Spec:", string(compactJSON(o.Spec))},
	}
	rows = append(rows, statusRows(o)...)
	for _, cond := range o.Conditions {
		rows = append(rows, []string{"Stored condition:", cond.Type + "=" + cond.Status, cond.Reason, cond.Message})
	}
	return p.printTable(rows)
}

func statusRows(o object) [][]string {
	if o.Status == nil {
		return nil
	}
	s := o.Status
	rows := [][]string{{"In force:", fmt.Sprintf("%s (%d of %d processes)", formatInForce(o), s.InForce, s.Processes)}}
	if !s.InForceSince.IsZero() {
		rows = append(rows, []string{"In force since:", s.InForceSince.Format(time.RFC3339)})
	}
	if w := s.Work; w != nil {
		rows = append(rows,
			[]string{"Tasks:", fmt.Sprintf("%d queued, %d running", w.Queued, w.Running)},
			[]string{"Jobs:", fmt.Sprintf("%d completed, %d failed", w.Completed, w.Failed)},
			[]string{"Jobs refused:", formatCounts(w.Refused)},
			[]string{"Response:", fmt.Sprintf("%d jobs, p50 %s, p99 %s, max %s", w.Response.Count, formatMs(w.Response.P50), formatMs(w.Response.P99), formatMs(w.Response.Max)), "|" + sparkline(w.Response.Buckets) + "|"})
	}
	for _, cond := range s.Conditions {
		rows = append(rows, []string{"Condition:", cond.Type + "=" + cond.Status, cond.Reason, cond.Message})
	}
	return rows
}
