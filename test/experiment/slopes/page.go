package slopes

import (
	"bytes"
	"fmt"
	"io"
	"os"

	"github.com/juju/errors"
)

// pageEntries are the numbers of entry instances that the page shows.
var pageEntries = []float64{6, 12, 24, 40}

// WritePage writes the tables of the slopes and of the design scale as Markdown for docs/CAPACITY.md.
func (r *Report) WritePage(w io.Writer) error {
	page := fmt.Sprintf("Commit `%s`, seed %d, `%s`, %.0f s.\n\n", r.Commit, r.Seed, r.Command, r.TookS)
	page += "| relation | x | y | at x = 0 | per unit of x | R² | points | growth |\n|---|---|---|---|---|---|---|---|\n"
	for _, rel := range r.Relations {
		page += fmt.Sprintf("| [%s](capacity/%s.svg) | %s | %s | %.4g | %.4g | %.3f | %d | %s |\n",
			rel.Name, rel.Name, rel.XLabel, rel.YLabel, rel.Intercept, rel.Slope, rel.R2, len(rel.Points), rel.Shape)
	}
	if _, err := io.WriteString(w, page+"\n"); err != nil {
		return errors.Annotate(err, "write the table")
	}
	single := DesignFleet(pageEntries[len(pageEntries)-1])
	single.JobTasks = 1
	var fleets []Fleet
	for _, n := range pageEntries {
		fleets = append(fleets, DesignFleet(n))
	}
	return r.WriteFleets(w, append(fleets, single)...)
}

// The generated part of the page lies between these lines.
const (
	pageBegin = "<!-- generated: begin -->\n"
	pageEnd   = "<!-- generated: end -->\n"
)

// UpdatePage replaces the generated part of a page.
func (r *Report) UpdatePage(file string) error {
	page, err := os.ReadFile(file)
	if err != nil {
		return errors.Trace(err)
	}
	begin, end := bytes.Index(page, []byte(pageBegin)), bytes.Index(page, []byte(pageEnd))
	if begin < 0 || end < begin {
		return errors.NotFoundf("generated part of %s", file)
	}
	var out bytes.Buffer
	out.Write(page[:begin+len(pageBegin)])
	out.WriteString("\n")
	if err := r.WritePage(&out); err != nil {
		return err
	}
	out.WriteString("\n")
	out.Write(page[end:])
	return errors.Annotate(os.WriteFile(file, out.Bytes(), 0o644), "update the page")
}
