package daemon

import (
	"context"

	"github.com/juju/errors"
	"go.uber.org/dig"

	"github.com/cardamomturn/cardamomturn/internal/event"
	"github.com/cardamomturn/cardamomturn/internal/metrics"
)

// newContainer returns the dependency injection container of a role with the
// providers of its settings and its metrics and with its constructor.
func newContainer(role string, settings, constructor any) (*dig.Container, error) {
	c := dig.New()
	for _, provide := range []any{
		settings,
		func() *metrics.Registry { return newMetrics(role) },
		constructor,
	} {
		if err := c.Provide(provide); err != nil {
			return nil, errors.Annotatef(err, "registering the constructors of role %s", role)
		}
	}
	return c, nil
}

func newMetrics(role string) *metrics.Registry {
	return metrics.New(metrics.Options{Role: role, OnClassLimit: func() {
		event.Log(context.Background(), event.MetricsCapped, "role", role, "max", metrics.DefaultMaxClasses)
	}})
}

// withRole constructs a role, calls f with it and closes the metrics, which reports
// them once more. It returns the first error of the constructor, f and the closing.
func withRole[R any](role string, settings, constructor any, f func(R) error) error {
	c, err := newContainer(role, settings, constructor)
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
