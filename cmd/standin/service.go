package main

import (
	"context"
	"strings"

	"github.com/gravitational/trace"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin/service"
)

type serviceCommand struct {
	upstreamFlags

	Name          string   `help:"Name of the service." required:""`
	Version       string   `help:"Version of the service." required:""`
	Idempotent    []string `help:"Idempotent routes." placeholder:"METHOD PATH"`
	NonIdempotent []string `help:"Non-idempotent routes." placeholder:"METHOD PATH"`
}

// Run serves the service until SIGTERM or until a leaving notice runs out.
func (c *serviceCommand) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	routes, err := c.routes()
	if err != nil {
		return err
	}
	client, err := c.connect()
	if err != nil {
		return err
	}
	listener, err := standin.Listen(c.Addr)
	if err != nil {
		return err
	}
	standIn := service.New(service.Options{Name: c.Name, Version: c.Version, Routes: routes, Seed: c.Seed, OnLeft: stop})
	defer standIn.Close()
	return upstream{
		flags:   c.upstreamFlags,
		client:  client,
		entry:   model.Upstream{Kind: model.KindService, Serves: c.Name, Version: c.Version},
		handler: standIn,
		leave:   standIn.Leave,
	}.serve(ctx, listener)
}

func (c *serviceCommand) routes() ([]service.Route, error) {
	var routes []service.Route
	add := func(texts []string, idempotent bool) error {
		for _, text := range texts {
			method, path, ok := strings.Cut(text, " ")
			if !ok || !strings.HasPrefix(path, "/") {
				return trace.BadParameter("route %q is not of the form \"METHOD /path\"", text)
			}
			routes = append(routes, service.Route{Method: method, Path: path, Idempotent: idempotent})
		}
		return nil
	}
	if err := add(c.Idempotent, true); err != nil {
		return nil, err
	}
	return routes, add(c.NonIdempotent, false)
}
