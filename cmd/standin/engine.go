package main

import (
	"context"
	"os"
	"time"

	"github.com/apex/log"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin/engine"
)

// exitCrashed is the exit status after a prompt with the crash marker.
const exitCrashed = 3

type engineCommand struct {
	upstreamFlags

	Model           string        `help:"Model that the engine serves at the start." required:""`
	Version         string        `help:"Version that the engine serves at the start." required:""`
	Adapters        []string      `help:"Adapters that are loaded at the start."`
	Role            string        `help:"Role at the start."`
	Fencing         string        `help:"What the engine does with fencing numbers." enum:"honoured,ignored" default:"honoured"`
	Slots           int           `help:"Streams that decode concurrently." default:"8"`
	MaxWaiting      int           `help:"Streams that wait for a slot." default:"1024"`
	TokenTime       time.Duration `help:"Time between two tokens of a stream." default:"20ms"`
	PrefillRate     float64       `help:"Prompt bytes/s of each stream." default:"200000"`
	CacheBlocks     int           `help:"Prefix blocks of 256 bytes that are kept." default:"4096"`
	CacheEventDelay time.Duration `help:"Time until a cache event is published." default:"500ms"`
	CacheEventLoss  float64       `help:"Fraction of the cache events that is never published." default:"0.05"`
	LoadLag         time.Duration `help:"Age of the reported load." default:"500ms"`
	Grace           time.Duration `help:"How long a stream keeps running without a connection." default:"5s"`
	LoadTime        time.Duration `help:"Time to load a model, version or adapter." default:"2s"`
	FetchWeights    bool          `help:"Read weights from the platform before a load."`
	Noise           bool          `help:"Make the tokens of two attempts of one request differ."`
	CrashMarker     string        `help:"Exit when a prompt holds this text."`
	CrashAt         int           `help:"Position of the token at which the marker crashes the engine."`
}

// Run serves the engine until SIGTERM or until a leaving notice runs out.
func (c *engineCommand) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	client, err := c.connect()
	if err != nil {
		return err
	}
	listener, err := standin.Listen(c.Addr)
	if err != nil {
		return err
	}
	opts := c.options()
	opts.OnLeft = stop
	if c.FetchWeights && client != nil {
		opts.FetchWeights = standin.FetchWeights(client)
	}
	standIn := engine.New(opts)
	defer standIn.Close()
	return upstream{
		flags:  c.upstreamFlags,
		client: client,
		entry: model.Upstream{
			Kind:    model.KindEngine,
			Serves:  c.Model,
			Version: c.Version,
			Fencing: opts.Fencing,
		},
		handler: standIn,
		leave:   standIn.Leave,
	}.serve(ctx, listener)
}

func (c *engineCommand) options() engine.Options {
	return engine.Options{
		Model:           c.Model,
		Version:         c.Version,
		Adapters:        c.Adapters,
		Role:            c.Role,
		Fencing:         model.FencingMode(c.Fencing),
		Slots:           c.Slots,
		MaxWaiting:      c.MaxWaiting,
		TokenTime:       c.TokenTime,
		PrefillRate:     c.PrefillRate,
		CacheBlocks:     c.CacheBlocks,
		CacheEventDelay: c.CacheEventDelay,
		CacheEventLoss:  c.CacheEventLoss,
		LoadLag:         c.LoadLag,
		Grace:           c.Grace,
		LoadTime:        c.LoadTime,
		Noise:           c.Noise,
		Seed:            c.Seed,
		Faults:          engine.Faults{CrashMarker: c.CrashMarker, CrashAt: c.CrashAt},
		OnCrash:         crash,
	}
}

// crash ends the process without any clean-up, as a killed engine does.
func crash() {
	log.WithField("part", "standin").Error("prompt contains the crash marker; exiting")
	os.Exit(exitCrashed)
}
