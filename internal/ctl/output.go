package ctl

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/resource"
)

// Output formats.
const (
	outputJSON  = "json"
	outputTable = "table"
)

func (p *program) printJSON(v any) error {
	enc := json.NewEncoder(p.Out)
	enc.SetIndent("", "  ")
	return errors.Annotate(enc.Encode(v), "writing output")
}

// printTable writes rows in aligned columns. A header is passed as the first row.
func (p *program) printTable(rows [][]string) error {
	w := tabwriter.NewWriter(p.Out, 0, 8, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return errors.Annotate(w.Flush(), "writing output")
}

// object is a resource of any type.
type object = resource.Object[json.RawMessage]

// objectList is the response body of GET on a resource type.
type objectList struct {
	Revision uint64   `json:"revision"`
	Items    []object `json:"items"`
}

func objectRows(items []object) [][]string {
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	rows := [][]string{{"NAME", "GENERATION", "VERSION", "IN FORCE", "SPEC"}}
	for _, o := range items {
		rows = append(rows, []string{
			o.Metadata.Name, fmt.Sprint(o.Metadata.Generation), fmt.Sprint(o.Metadata.ResourceVersion), formatInForce(o), string(compactJSON(o.Spec)),
		})
	}
	return rows
}

// formatInForce returns "yes" if the generation is in force on all live processes,
// a fraction of the processes such as "2/5" if not, and "-" without a status.
func formatInForce(o object) string {
	switch {
	case o.Status == nil:
		return "-"
	case inForceEverywhere(o):
		return "yes"
	}
	return fmt.Sprintf("%d/%d", o.Status.InForce, o.Status.Processes)
}

// inForceEverywhere reports whether the object's generation is in force on all live
// processes.
func inForceEverywhere(o object) bool {
	s := o.Status
	return s != nil && !s.InForceSince.IsZero() && s.ObservedGeneration >= o.Metadata.Generation
}

func compactJSON(raw json.RawMessage) []byte {
	var v any
	if json.Unmarshal(raw, &v) != nil {
		return raw
	}
	data, err := json.Marshal(v)
	if err != nil {
		return raw
	}
	return data
}

// formatMs formats a number of milliseconds as a short duration.
func formatMs(milliseconds float64) string {
	return time.Duration(milliseconds * float64(time.Millisecond)).Round(10 * time.Microsecond).String()
}

// sparkline draws each bucket count as one character, scaled to the largest count.
func sparkline(buckets []int64) string {
	levels := []rune(" ▁▂▃▄▅▆▇█")
	var largest int64
	for _, n := range buckets {
		largest = max(largest, n)
	}
	var b strings.Builder
	for _, n := range buckets {
		level := 0
		if n > 0 {
			level = 1 + int(n*int64(len(levels)-2)/largest)
		}
		b.WriteRune(levels[level])
	}
	return b.String()
}

// formatCounts lists counters by name, such as "queueFull 3, deadline 1".
func formatCounts(counters map[string]int64) string {
	if len(counters) == 0 {
		return "-"
	}
	parts := make([]string, 0, len(counters))
	for _, name := range slices.Sorted(maps.Keys(counters)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, counters[name]))
	}
	return strings.Join(parts, ", ")
}
