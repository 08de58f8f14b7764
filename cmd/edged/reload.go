package main

import (
	"context"
	"os"

	"github.com/apex/log"

	"github.com/sequoiavalve/sequoiavalve/platform"
)

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
