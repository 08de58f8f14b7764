package main

import (
	"context"

	"github.com/apex/log"

	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin/platform"
)

type platformCommand struct {
	listenFlags

	WeightBytes int `help:"Size in bytes of each answer with weights." default:"1024"`
}

// Run serves the platform until SIGTERM.
func (c *platformCommand) Run(ctx context.Context) error {
	listener, err := standin.Listen(c.Addr)
	if err != nil {
		return err
	}
	server := standin.Server{
		Handler: platform.New(platform.Options{Seed: c.Seed, WeightBytes: c.WeightBytes}),
		Grace:   c.Drain,
		Ready:   logReady("platform"),
	}
	return server.Run(ctx, listener)
}

func logReady(name string) func(address string) {
	return func(address string) {
		log.WithField("part", "standin").WithField("address", address).Infof("%s is ready", name)
	}
}
