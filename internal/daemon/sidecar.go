package daemon

import (
	"github.com/urfave/cli/v2"

	"github.com/cardamomturn/cardamomturn/internal/settings"
)

func sidecarCommand(Streams) *cli.Command {
	return &cli.Command{
		Name:      "sidecar",
		Usage:     "run the sidecar of a backend server",
		UsageText: "cardamomturnd sidecar --config FILE",
		Flags:     []cli.Flag{configFlag()},
		Action: func(c *cli.Context) error {
			f, err := loadSettings(c)
			if err != nil {
				return err
			}
			if f.Sidecar == nil {
				return usageErrorf("%s has no section sidecar", c.String("config"))
			}
			provide := func() *settings.Sidecar { return f.Sidecar }
			return withRole("sidecar", provide, newSidecar, func(r SidecarRole) error {
				return serve(c.Context, r, f.Sidecar.Timing)
			})
		},
	}
}
