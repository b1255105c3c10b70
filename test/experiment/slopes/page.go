package slopes

import (
	"fmt"
	"io"

	"github.com/juju/errors"
)

// WritePage writes the table of the slopes as Markdown for docs/CAPACITY.md.
func (r *Report) WritePage(w io.Writer) error {
	page := fmt.Sprintf("Commit `%s`, seed %d, `%s`, %.0f s.\n\n", r.Commit, r.Seed, r.Command, r.TookS)
	page += "| relation | x | y | at x = 0 | per unit of x | R² | points | growth |\n|---|---|---|---|---|---|---|---|\n"
	for _, rel := range r.Relations {
		page += fmt.Sprintf("| [%s](capacity/%s.svg) | %s | %s | %.4g | %.4g | %.3f | %d | %s |\n",
			rel.Name, rel.Name, rel.XLabel, rel.YLabel, rel.Intercept, rel.Slope, rel.R2, len(rel.Points), rel.Shape)
	}
	_, err := io.WriteString(w, page)
	return errors.Annotate(err, "write the table")
}
