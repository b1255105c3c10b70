package slopes

import (
	"bytes"
	"fmt"
	"io"
	"os"

	"github.com/juju/errors"
)

// pageEntryCounts are the numbers of entry instances for which the page shows the
// design scale.
var pageEntryCounts = []float64{6, 12, 24, 40}

// WritePage writes the tables of the relations and of the design scale as Markdown
// for docs/CAPACITY.md.
func (r *Report) WritePage(w io.Writer) error {
	text := fmt.Sprintf("Commit `%s`, seed %d, `%s`, %.0f s.\n\n", r.Commit, r.Seed, r.Command, r.TookS)
	text += "| relation | x | y | at x = 0 | per unit of x | R² | points | growth |\n|---|---|---|---|---|---|---|---|\n"
	for _, rel := range r.Relations {
		text += fmt.Sprintf("| [%s](capacity/%s.svg) | %s | %s | %.4g | %.4g | %.3f | %d | %s |\n",
			rel.Name, rel.Name, rel.XLabel, rel.YLabel, rel.Intercept, rel.Slope, rel.R2, len(rel.Points), rel.Shape)
	}
	if _, err := io.WriteString(w, text+"\n"); err != nil {
		return errors.Annotate(err, "write the table")
	}
	singleTaskJobs := DesignFleetSize(pageEntryCounts[len(pageEntryCounts)-1])
	singleTaskJobs.JobTasks = 1
	var fleets []FleetSize
	for _, n := range pageEntryCounts {
		fleets = append(fleets, DesignFleetSize(n))
	}
	return r.WriteFigures(w, append(fleets, singleTaskJobs)...)
}

// Lines before and after the generated part of the page.
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
