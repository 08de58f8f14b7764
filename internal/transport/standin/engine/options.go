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
	defaultCacheBlocks = 4096    // blocks; 1 MiB of prompts
	defaultGrace       = 5 * time.Second
	defaultLoadTime    = 2 * time.Second
	defaultMaxTokens   = 16 // as in the OpenAI API
)

// Options configure an Engine. A zero value means the default, if there is one.
type Options struct {
	Model    string
	Version  string
	Adapters []string
	Role     string
	Fencing  model.FencingMode // empty means honoured

	Slots       int           // maximum number of running streams
	MaxWaiting  int           // maximum number of streams that wait for a slot
	TokenTime   time.Duration // between two tokens of a stream
	PrefillRate float64       // prompt bytes/s of each stream
	CacheBlocks int           // capacity of the prefix cache, in blocks of BlockBytes

	CacheEventDelay time.Duration // until a cache event is published
	CacheEventLoss  float64       // fraction of the cache events that are never published
	LoadLag         time.Duration // age of the load that the health answer shows
	Grace           time.Duration // how long a stream is kept without a connection
	LoadTime        time.Duration // to load a model, version or adapter

	// Noise mixes the stream ID into each token, so that two attempts of one
	// request differ, as they do when sampling with a temperature.
	Noise  bool
	Seed   uint64 // for the random draws of the faults
	Faults Faults // initial faults

	// OnCrash runs when Faults.CrashMarker takes effect. Nil means Kill.
	OnCrash func()
	// OnLeft runs when the deadline of a leaving notice has passed.
	OnLeft func()
	// FetchWeights runs before LoadTime starts. It waits while the rate limit of
	// the weight store is exceeded. Nil means that there is nothing to fetch.
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

// state returns the model, version, adapters and role with which the engine starts.
func (o Options) state() engineapi.State {
	return engineapi.State{Model: o.Model, Version: o.Version, Adapters: o.Adapters, Role: o.Role}
}
