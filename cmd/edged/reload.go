package main

import (
	"os"
	"os/signal"

	"github.com/sequoiavalve/sequoiavalve/platform"
)

// reloadOn reads the settings again at the signal. Addresses and names do not
// change while the process runs; what it checks is that the next start will do.
func (e *edge) reloadOn(sig os.Signal, path string) (stop func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, sig)
	go func() {
		for range signals {
			fresh, err := platform.LoadSettings(path)
			if err != nil {
				e.log.WithError(err).Error("reload: settings are not valid, the old ones stay in force")
				continue
			}
			e.log.WithField("changed", fresh != e.settings).Info("reload: settings read; a change takes effect at the next start")
		}
	}()
	return func() {
		signal.Stop(signals)
		close(signals)
	}
}
