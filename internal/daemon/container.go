package daemon

import (
	"context"

	"github.com/juju/errors"
	"go.uber.org/dig"

	"github.com/cardamomturn/cardamomturn/internal/event"
	"github.com/cardamomturn/cardamomturn/internal/metrics"
)

// container returns the dependency container of a role with its settings, its
// metrics and its constructor.
func container(role string, settings, constructor any) (*dig.Container, error) {
	c := dig.New()
	for _, provide := range []any{
		settings,
		func() *metrics.Registry { return newMetrics(role) },
		constructor,
	} {
		if err := c.Provide(provide); err != nil {
			return nil, errors.Annotatef(err, "providing the parts of role %s", role)
		}
	}
	return c, nil
}

func newMetrics(role string) *metrics.Registry {
	return metrics.New(metrics.Options{Role: role, OnClassLimit: func() {
		event.Log(context.Background(), event.MetricsCapped, "role", role, "max", metrics.DefaultMaxClasses)
	}})
}

// invoke builds a role and runs f with it. The metrics are reported once more
// at the end. Errors are those of the constructor or of f.
func invoke[R any](role string, settings, constructor any, f func(R) error) error {
	c, err := container(role, settings, constructor)
	if err != nil {
		return err
	}
	err = c.Invoke(func(r R, m *metrics.Registry) (err error) {
		defer func() {
			if closeErr := m.Close(); err == nil {
				err = closeErr
			}
		}()
		return f(r)
	})
	if err != nil {
		return errors.Annotatef(dig.RootCause(err), "role %s", role)
	}
	return nil
}
