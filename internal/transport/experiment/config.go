// Package experiment runs instances on stand-ins of the users' platform under the
// load and the faults that a file describes. It runs them once for each policy of
// choosing engines, and reports how requests ended and what engines computed.
package experiment

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/forward"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/strictyaml"
)

// maxFileBytes bounds the size of an experiment file.
const maxFileBytes = 1 << 20

// Config describes an experiment.
type Config struct {
	Seed  uint64        `yaml:"seed"` // of arrivals, prompts and the targets of faults
	Time  time.Duration `yaml:"time" validate:"min=1s,max=10m"`
	Fleet Fleet         `yaml:"fleet"`
	Load  Load          `yaml:"load"`
	// Faults are the faults of each run; their times count from the start of the
	// load.
	Faults   []Fault  `yaml:"faults" validate:"max=1000,dive"`
	Policies []string `yaml:"policies" validate:"min=1,max=8,dive,oneof=earliest_finish locality"`
}

// Fleet is the number of instances and stand-ins, and the times of the stand-ins.
type Fleet struct {
	Instances   int           `yaml:"instances" validate:"min=1,max=24"`
	Engines     int           `yaml:"engines" validate:"min=1,max=200"`
	EngineSlots int           `yaml:"engine_slots" validate:"min=1,max=1024"`
	ReadTime    time.Duration `yaml:"read_time" validate:"min=0s,max=1m"` // to read a prompt; an engine reads one at a time
	Events      int           `yaml:"events" validate:"min=1,max=10000"`  // of a stream
	EventTime   time.Duration `yaml:"event_time" validate:"min=1ms,max=1m"`
	Desks       int           `yaml:"desks" validate:"min=0,max=200"` // plain services
	WorkTime    time.Duration `yaml:"work_time" validate:"min=0s,max=1m"`
}

// Load is the load from callers. Streams, Bookings and Lookups are rates in
// requests/s.
type Load struct {
	Streams  float64 `yaml:"streams" validate:"min=0,max=1000"`
	Bookings float64 `yaml:"bookings" validate:"min=0,max=1000"`
	Lookups  float64 `yaml:"lookups" validate:"min=0,max=1000"`
	// Prompts is the number of different prompts; 0 gives each stream its own.
	Prompts      int           `yaml:"prompts" validate:"min=0,max=100000"`
	PromptTokens int           `yaml:"prompt_tokens" validate:"min=1,max=50000"`
	Deadline     time.Duration `yaml:"deadline" validate:"min=1s,max=10m"`
}

// Kinds of faults.
const (
	EngineCrash  = "engine_crash"  // engines crash; others replace them when the fault ends
	DeskCrash    = "desk_crash"    // the same for plain services
	InstanceStop = "instance_stop" // instances stop at once, and restart when the fault ends
	StoreBusy    = "store_busy"    // the store answers 503
	StoreLost    = "store_lost"    // the store applies writes but does not answer them
	StoreCompact = "store_compact" // the store drops its history
)

// Fault is one fault, which starts At after the start of the load and lasts For.
type Fault struct {
	At    time.Duration `yaml:"at" validate:"min=0s,max=10m"`
	For   time.Duration `yaml:"for" validate:"min=0s,max=10m"`
	Kind  string        `yaml:"kind" validate:"required,oneof=engine_crash desk_crash instance_stop store_busy store_lost store_compact"`
	Count int           `yaml:"count" validate:"min=1,max=200"` // of engines, desks or instances
}

// Default returns an experiment without faults.
func Default() *Config {
	return &Config{
		Seed: 1,
		Time: 20 * time.Second,
		Fleet: Fleet{
			Instances: 3, Engines: 6, EngineSlots: 16, ReadTime: 300 * time.Millisecond, Events: 100, EventTime: 20 * time.Millisecond,
			Desks: 3, WorkTime: 40 * time.Millisecond,
		},
		Load:     Load{Streams: 6, Bookings: 10, Lookups: 5, PromptTokens: 5000, Deadline: 25 * time.Second},
		Policies: []string{"earliest_finish"},
	}
}

// Parse decodes an experiment and checks it. Absent fields keep their defaults.
func Parse(src []byte) (*Config, strictyaml.Faults) {
	c := Default()
	file := strictyaml.Decode(src, c, maxFileBytes)
	file.Validate(c)
	if faults := file.Faults(); len(faults) > 0 {
		return nil, faults
	}
	return c, nil
}

// policies are the policies of choosing an engine, by their names in the file.
var policies = map[string]forward.Policy{
	"earliest_finish": forward.EarliestFinish,
	"locality":        locality,
}

const (
	// uncachedCost is added for an engine without the prompt in its cache, and
	// otherDomainCost for an engine in another failure domain. In tokens, both
	// exceed the work that an engine can hold.
	uncachedCost    = 1e9
	otherDomainCost = 1e8
)

// locality prefers an engine with the prompt in its cache, then one in the failure
// domain of the instance, however much work they hold.
func locality(c forward.Candidate, prompt int) float64 {
	cost := forward.EarliestFinish(c, prompt)
	if c.CachedTokens == 0 {
		cost += uncachedCost
	}
	if !c.SameFailureDomain {
		cost += otherDomainCost
	}
	return cost
}
