// Command svctl is the operators' command-line client.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/environment"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/rollout"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/operator"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/platform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := operator.Run(ctx, os.Args[1:], operator.Config{Stdout: os.Stdout, Stderr: os.Stderr, Connect: connect})
	stop()
	os.Exit(code)
}

// connect creates a platform client and returns the tables that commands use.
func connect(url string) (*operator.Platform, error) {
	client, err := platform.New(platform.Options{BaseURL: url})
	if err != nil {
		return nil, err
	}
	directory := platform.NewDirectory(client)
	return &operator.Platform{
		Heads:   platform.NewRows[environment.Head](client, platform.StateTable),
		Moves:   platform.NewRows[rollout.Move](client, platform.StateTable),
		Objects: platform.NewObjects(client),
		Instances: func(ctx context.Context) ([]model.Instance, error) {
			machines, err := directory.List(ctx)
			return machines.Instances, err
		},
	}, nil
}
