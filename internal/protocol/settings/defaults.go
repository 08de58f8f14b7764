package settings

import "time"

// DefaultEntryd returns the defaults of the entry process.
func DefaultEntryd() *Entryd {
	return &Entryd{
		Common: defaultCommon(),
		Limits: Limits{
			BodyBytes:  4 << 20,
			HeaderTime: 5 * time.Second,
			// At 1.1 Mbit/s, a body of 4 MiB takes 30 s.
			BodyTime: 30 * time.Second,
			// At the target scale, an instance starts 35 requests/s. 5% of them run
			// for minutes, so about 500 streams are open at once, and several times
			// as many when other instances fail.
			MaxStreams: 4096,
		},
		// The drain waits until the endpoint answers that callers cache have
		// expired, plus 2 s (docs/design.md section 9).
		Drain: Drain{Margin: 2 * time.Second},
	}
}

// DefaultControld returns the defaults of the control process. The intervals
// are those of docs/design.md sections 8 and 9.
func DefaultControld() *Controld {
	return &Controld{
		Common: defaultCommon(),
		Polls: Polls{
			Document:        2500 * time.Millisecond,
			Instances:       2 * time.Second,
			Upstreams:       time.Second,
			Gossip:          500 * time.Millisecond,
			GossipRegions:   2 * time.Second,
			PlatformTimeout: 2 * time.Second,
		},
		Weights: Weights{LoadsPerSecond: 1, Burst: 4},
	}
}

func defaultCommon() Common {
	return Common{
		Log:   Log{Format: "text", Level: "info"},
		Trace: Trace{Sample: 0.01},
	}
}
