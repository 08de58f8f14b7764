package main

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	platformclient "github.com/sequoiavalve/sequoiavalve/internal/transport/platform"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin"
)

// upstreamFlags are the flags of engines and services.
type upstreamFlags struct {
	listenFlags

	Platform      string `help:"URL of the platform in whose list to register; empty means none." placeholder:"URL"`
	ID            string `help:"Upstream ID in the platform's list."`
	Region        string `help:"Region in the platform's list."`
	FailureDomain string `help:"Failure domain in the platform's list."`
}

// upstream is the engine or service that this process serves.
type upstream struct {
	flags   upstreamFlags
	client  *platformclient.Client // nil without a platform
	entry   model.Upstream         // without ID, region, failure domain and address
	handler http.Handler
	leave   func(deadline time.Duration)
}

// connect returns a client of the platform, or nil if none is configured.
func (f upstreamFlags) connect() (*platformclient.Client, error) {
	if f.Platform == "" {
		return nil, nil
	}
	if f.ID == "" {
		return nil, trace.BadParameter("--platform needs --id, the upstream ID to register")
	}
	return platformclient.New(platformclient.Options{BaseURL: f.Platform})
}

// serve runs the upstream until the context ends. It registers the upstream when
// it starts, lists it as leaving while it drains, and removes it at the end.
func (u upstream) serve(ctx context.Context, listener net.Listener) error {
	server := standin.Server{
		Handler:  u.handler,
		Grace:    u.flags.Drain,
		Ready:    logReady(string(u.entry.Kind)),
		Draining: func() { u.leave(u.flags.Drain) },
	}
	if u.client == nil {
		return server.Run(ctx, listener)
	}
	defer u.client.Close()
	registration := standin.NewRegistration(u.client, u.registrationEntry(listener))
	registered := make(chan struct{})
	go func() {
		defer close(registered)
		registration.Register(ctx)
	}()
	server.Draining = func() {
		u.leave(u.flags.Drain)
		<-registered // a late registration must not overwrite the leaving notice
		registration.Leave()
	}
	err := server.Run(ctx, listener)
	registration.Remove()
	return err
}

// registrationEntry returns the entry for the platform's list.
func (u upstream) registrationEntry(listener net.Listener) model.Upstream {
	entry := u.entry
	entry.ID = model.UpstreamID(u.flags.ID)
	entry.Region = u.flags.Region
	entry.FailureDomain = model.FailureDomain(u.flags.FailureDomain)
	entry.Address = listener.Addr().String()
	return entry
}
