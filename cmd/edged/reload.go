package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/apex/log"

	"github.com/sequoiavalve/sequoiavalve/platform"
)

// catchReload keeps the signal from ending the process. It is called before
// anything else, since settings may change while the process starts. Signals that
// arrive before reload runs cause one read when it does.
func catchReload(sig os.Signal) <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, sig)
	return signals
}

// reload reads and checks the settings at each signal, so that errors show before
// the next start. It applies no change, as addresses and names are fixed while
// the process runs.
func reload(ctx context.Context, signals <-chan os.Signal, path string, current platform.Settings) {
	logger := log.WithField("part", "edged")
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		updated, err := platform.LoadSettings(path)
		if err != nil {
			logger.WithError(err).Error("reload: settings are invalid; the process keeps the settings of its start")
			continue
		}
		logger.WithField("changed", updated != current).Info("reload: settings are valid; a change takes effect at the next start")
	}
}
