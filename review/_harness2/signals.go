package main

import (
	"os"
	"os/signal"
	"syscall"
)

// endOnSignal ends the site's processes if this process is told to end.
func (s *site) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		s.close()
		os.Exit(2)
	}()
}
