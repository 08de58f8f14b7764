package engine

import (
	"context"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/engineapi"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// Defaults of Options.
const (
	defaultSlots       = 8
	defaultMaxWaiting  = 1024
	defaultTokenTime   = 20 * time.Millisecond
	defaultPrefillRate = 200_000 // prompt bytes/s
	defaultCacheBlocks = 4096    // 1 MiB of prompts
	defaultGrace       = 5 * time.Second
	defaultLoadTime    = 2 * time.Second
	defaultMaxTokens   = 16 // as in the OpenAI API
)

// Options configure an Engine. Zero values mean the defaults above.
type Options struct {
	Model    string
	Version  string
	Adapters []string
	Role     string
	Fencing  model.FencingMode // empty means honoured

	Slots       int           // streams that decode at once
	MaxWaiting  int           // streams that wait for a slot
	TokenTime   time.Duration // between two tokens of a stream
	PrefillRate float64       // prompt bytes/s of each stream
	CacheBlocks int           // prefix blocks that are kept

	CacheEventDelay time.Duration // until a cache event is published
	CacheEventLoss  float64       // part of the cache events that is never published
	LoadLag         time.Duration // age of the load that the health answer shows
	Grace           time.Duration // how long a stream without a connection runs on
	LoadTime        time.Duration // to load a model, version or adapter

	// Noise mixes the stream ID into each token, as sampling with a
	// temperature does: two attempts of one request then differ.
	Noise  bool
	Seed   uint64 // of the faults' chance
	Faults Faults // in force from the start

	// Crash runs when a prompt holds the crash marker. Nil means Kill.
	Crash func()
	// Left runs when the deadline of a leaving notice has passed.
	Left func()
	// FetchWeights runs before LoadTime starts. It waits out the weight
	// store's rate. Nil means that there is nothing to fetch.
	FetchWeights func(ctx context.Context, name string) error
}

func (o Options) withDefaults() Options {
	o.Slots = orDefault(o.Slots, defaultSlots)
	o.MaxWaiting = orDefault(o.MaxWaiting, defaultMaxWaiting)
	o.TokenTime = orDefault(o.TokenTime, defaultTokenTime)
	o.PrefillRate = orDefault(o.PrefillRate, defaultPrefillRate)
	o.CacheBlocks = orDefault(o.CacheBlocks, defaultCacheBlocks)
	o.Grace = orDefault(o.Grace, defaultGrace)
	o.LoadTime = orDefault(o.LoadTime, defaultLoadTime)
	o.Fencing = orDefault(o.Fencing, model.FencingHonoured)
	return o
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// state returns what the engine serves when it starts.
func (o Options) state() engineapi.State {
	return engineapi.State{Model: o.Model, Version: o.Version, Adapters: o.Adapters, Role: o.Role}
}
