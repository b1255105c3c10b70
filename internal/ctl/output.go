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

// table writes rows in aligned columns; the first row is the header.
func (p *program) table(rows [][]string) error {
	w := tabwriter.NewWriter(p.Out, 0, 8, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return errors.Annotate(w.Flush(), "writing output")
}

// object is a resource of any type.
type object = resource.Object[json.RawMessage]

// list is the body of GET on a resource type.
type list struct {
	Revision uint64   `json:"revision"`
	Items    []object `json:"items"`
}

func objectRows(items []object) [][]string {
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	rows := [][]string{{"NAME", "GENERATION", "VERSION", "IN FORCE", "SPEC"}}
	for _, o := range items {
		rows = append(rows, []string{
			o.Metadata.Name, fmt.Sprint(o.Metadata.Generation), fmt.Sprint(o.Metadata.ResourceVersion), inForce(o), string(compact(o.Spec)),
		})
	}
	return rows
}

// inForce says where the generation is in force: "yes", or "2/5" processes.
func inForce(o object) string {
	switch {
	case o.Status == nil:
		return "-"
	case everywhere(o):
		return "yes"
	}
	return fmt.Sprintf("%d/%d", o.Status.InForce, o.Status.Processes)
}

// everywhere reports whether the object's generation is in force on all live
// processes.
func everywhere(o object) bool {
	s := o.Status
	return s != nil && !s.InForceSince.IsZero() && s.ObservedGeneration >= o.Metadata.Generation
}

func compact(raw json.RawMessage) []byte {
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

// ms formats milliseconds as a short duration.
func ms(v float64) string {
	return time.Duration(v * float64(time.Millisecond)).Round(10 * time.Microsecond).String()
}

// bars draws bucket counts as one character each, scaled to the largest.
func bars(buckets []int64) string {
	levels := []rune(" ▁▂▃▄▅▆▇█")
	var top int64
	for _, n := range buckets {
		top = max(top, n)
	}
	var b strings.Builder
	for _, n := range buckets {
		level := 0
		if n > 0 {
			level = 1 + int(n*int64(len(levels)-2)/top)
		}
		b.WriteRune(levels[level])
	}
	return b.String()
}

// counts lists counters by name, such as "queueFull 3, deadline 1".
func counts(by map[string]int64) string {
	if len(by) == 0 {
		return "-"
	}
	parts := make([]string, 0, len(by))
	for _, name := range slices.Sorted(maps.Keys(by)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, by[name]))
	}
	return strings.Join(parts, ", ")
}
