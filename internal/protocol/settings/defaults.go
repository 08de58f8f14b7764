package settings

import "time"

// DefaultEntryd returns the defaults of the entry process.
func DefaultEntryd() *Entryd {
	return &Entryd{
		Common: defaultCommon(),
		Limits: Limits{
			BodyBytes:  4 << 20,
			HeaderTime: 5 * time.Second,
			// A body of 4 MiB arrives in 30 s at 1.1 Mbit/s.
			BodyTime: 30 * time.Second,
			// At the target scale an instance starts 35 requests/s, of which 5%
			// run for minutes: about 500 streams at once, and several times that
			// when other instances fail.
			MaxStreams: 4096,
		},
		// docs/design.md section 9: endpoint answers expire, plus 2 s.
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
