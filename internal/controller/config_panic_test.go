package controller

import (
	"testing"

	"github.com/cardamomturn/cardamomturn/internal/decision/revision"
)

// TestPanicWhileDeciding guards against a mutex that stays locked after a panic in a request
// handler, so that the process never takes a configuration again.
func TestPanicWhileDeciding(t *testing.T) {
	for name, decide := range map[string]func(c *ConfigController){
		"an offered document": func(c *ConfigController) { c.consider([]byte("{}")) },
		"a written document":  func(c *ConfigController) { c.adopt(revision.Initial()) },
		"a forked document":   func(c *ConfigController) { c.mergeForkedDocument(t.Context(), 1) },
	} {
		c := NewConfigController(ConfigOptions{})
		c.forkedDocument = revision.Initial()
		c.tracker = nil
		func() {
			defer func() {
				if recover() == nil {
					t.Errorf("%s: no panic", name)
				}
			}()
			decide(c)
		}()
		if !c.mu.TryLock() {
			t.Errorf("%s: the mutex is still locked", name)
		}
	}
}
