package daemon

import (
	"fmt"
	"strings"

	"github.com/urfave/cli/v2"

	"github.com/cardamomturn/cardamomturn/internal/settings"
)

func checkConfigCommand(s Streams) *cli.Command {
	return &cli.Command{
		Name:      "check-config",
		Usage:     "check a settings file and list all its faults",
		UsageText: "cardamomturnd check-config --config FILE",
		Flags:     []cli.Flag{configFlag()},
		Action: func(c *cli.Context) error {
			f, err := loadSettings(c)
			if err != nil {
				return err
			}
			fmt.Fprintf(s.Out, "%s: ok (%s)\n", c.String("config"), strings.Join(sectionNames(f), ", "))
			return nil
		},
	}
}

// sectionNames returns the names of the sections in the file.
func sectionNames(f *settings.File) []string {
	var names []string
	if f.Entry != nil {
		names = append(names, "entry")
	}
	if f.Sidecar != nil {
		names = append(names, "sidecar")
	}
	if f.Standalone != nil {
		names = append(names, "standalone")
	}
	return names
}
