package node

import (
	"context"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"github.com/cardamomturn/cardamomturn/internal/controller"
	"github.com/cardamomturn/cardamomturn/internal/decision/revision"
	"github.com/cardamomturn/cardamomturn/internal/event"
)

// loggingConfig logs each accepted edit of the configuration, and each edit whose
// outcome is unknown, that conflicts with another edit, or that is refused because it
// lowers amounts.
type loggingConfig struct{ *controller.ConfigController }

// Commit implements resourceapi.Configuration.
func (c loggingConfig) Commit(ctx context.Context, e revision.Edit) (revision.Result, error) {
	res, err := c.ConfigController.Commit(ctx, e)
	logEditOutcome(e, res, err)
	return res, err
}

func logEditOutcome(e revision.Edit, res revision.Result, err error) {
	var (
		unknown  *controller.OutcomeUnknownError
		conflict *revision.ConflictError
		decrease *revision.DecreaseError
	)
	fields := []any{"resource", e.Ref.String(), "change", e.ChangeID}
	log := func(ev *event.Event, more ...any) { event.LogTo(klog.Background(), ev, append(fields, more...)...) }
	switch {
	case err == nil:
		log(event.ConfigAccepted, "revision", res.Revision)
		if len(res.Decreases) > 0 {
			log(event.LimitLowering, "lowered", res.Decreases)
		}
	case errors.As(err, &unknown):
		log(event.ConfigOutcomeUnknown, "err", err)
	case errors.As(err, &conflict):
		log(event.ConfigConflict, "current", conflict.Current)
	case errors.As(err, &decrease):
		log(event.DecreaseRefused, "lowered", decrease.Decreases)
	}
}
