package ctl

import (
	"fmt"
	"sort"

	"github.com/urfave/cli/v2"
	"github.com/valyala/fasthttp"

	"github.com/cardamomturn/cardamomturn/internal/metrics"
	"github.com/cardamomturn/cardamomturn/internal/resource"
)

// Stats is the body of GET /v1/stats.
type Stats struct {
	Classes []metrics.ClassStats `json:"classes"`
}

func (p *program) statsCommand() *cli.Command {
	return &cli.Command{
		Name:      "stats",
		Usage:     "show response, run and wait times of each team and kind",
		UsageText: "cardamomctl stats",
		Action:    p.stats,
	}
}

func (p *program) stats(c *cli.Context) error {
	if c.NArg() != 0 {
		return usage("stats takes no arguments")
	}
	var s Stats
	if err := p.client().resource(fasthttp.MethodGet, "/v1/stats", nil, &s); err != nil {
		return err
	}
	sort.Slice(s.Classes, func(i, j int) bool {
		a, b := s.Classes[i], s.Classes[j]
		return a.Team < b.Team || a.Team == b.Team && a.Kind < b.Kind
	})
	if p.output == outputJSON {
		return p.printJSON(s)
	}
	rows := [][]string{{"TEAM", "KIND", "TIME", "COUNT", "MEAN", "P50", "P90", "P99", "MAX", "1ms..30s"}}
	for _, class := range s.Classes {
		rows = append(rows,
			histogramRow(class, "job response", class.Response),
			histogramRow(class, "task run", class.Run),
			histogramRow(class, "queue wait", class.Wait))
	}
	return p.table(rows)
}

func histogramRow(c metrics.ClassStats, name string, h resource.Histogram) []string {
	return []string{c.Team, c.Kind, name, fmt.Sprint(h.Count), ms(h.Mean), ms(h.P50), ms(h.P90), ms(h.P99), ms(h.Max), "|" + bars(h.Buckets) + "|"}
}
