package bench

import (
	"encoding/csv"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/prefix"
)

// Request is one request of a trace.
type Request struct {
	At          time.Duration
	Instance    int
	Group       int // requests of one group share the first SharedBytes of the prompt
	SharedBytes int
	PromptBytes int
	Tokens      int // output tokens that the engine produces
	MaxTokens   int // upper limit of the output tokens, set by the caller
}

// blocks returns the prefix blocks of the prompt; n is the number of the request.
func (r Request) blocks(n int) []prefix.Block {
	blocks := make([]prefix.Block, 0, r.PromptBytes/prefix.BlockBytes)
	for end := prefix.BlockBytes; end <= r.PromptBytes; end += prefix.BlockBytes {
		name := fmt.Sprintf("group %d %d", r.Group, end)
		if end > r.SharedBytes {
			name = fmt.Sprintf("request %d %d", n, end)
		}
		h := fnv.New64a()
		_, _ = h.Write([]byte(name)) // never fails
		blocks = append(blocks, prefix.Block(h.Sum64()))
	}
	return blocks
}

// Trace is a sequence of requests and the engines that serve them.
type Trace struct {
	Name      string
	Instances int
	Engines   []EngineSpec
	Requests  []Request // sorted by At
}

// Shape holds the parameters of a randomly drawn trace.
type Shape struct {
	Name         string
	Instances    int
	Engines      int
	SlowEngines  int     // engines that run at half the speed, included in Engines
	Load         float64 // fraction of the engines' decode capacity that the requests use
	Groups       int     // prompt groups; 0 means that nothing is shared
	Skew         float64 // exponent of the groups' Zipf distribution, above 1; 0 means uniform
	LongFraction float64 // fraction of the generations that run for minutes
	Duration     time.Duration
}

// Parameters common to all drawn traces.
const (
	tokenTime     = 20 * time.Millisecond
	prefillRate   = 100_000.0 // prompt bytes/s
	slots         = 32
	cacheBlocks   = 4096    // 1 MiB of prompts
	sharedBytes   = 8 << 10 // size of the shared prefix of a prompt
	unsharedBytes = 1 << 10 // mean size of the unshared end of a prompt
	shortTokens   = 200     // mean output of most generations
	longTokens    = 4000    // mean output of the generations that run for minutes
	lengthSpread  = 0.7     // sigma of the log-normal lengths
)

// Shapes returns the shapes of the traces of a benchmark. The fraction of long
// generations and the number of groups follow the target scale of the design page.
// The small shapes have the size of a present user's deployment.
func Shapes(duration time.Duration) []Shape {
	return []Shape{
		{Name: "shared prefixes", Instances: 12, Engines: 20, Load: 0.6, Groups: 40, LongFraction: 0.05, Duration: duration},
		{Name: "one hot prefix", Instances: 12, Engines: 20, Load: 0.6, Groups: 40, Skew: 1.8, LongFraction: 0.05, Duration: duration},
		{Name: "more than caches hold", Instances: 12, Engines: 20, Load: 0.6, Groups: 600, LongFraction: 0.05, Duration: duration},
		{Name: "nothing shared", Instances: 12, Engines: 20, Load: 0.6, LongFraction: 0.05, Duration: duration},
		{Name: "unequal engines", Instances: 12, Engines: 20, SlowEngines: 8, Load: 0.6, Groups: 40, LongFraction: 0.05, Duration: duration},
		{Name: "near capacity", Instances: 12, Engines: 20, Load: 0.9, Groups: 40, LongFraction: 0.05, Duration: duration},
		{Name: "many instances", Instances: 60, Engines: 60, Load: 0.6, Groups: 120, LongFraction: 0.05, Duration: duration},
	}
}

// DrawTrace returns a random trace of the shape. The trace depends on shape and seed only.
func DrawTrace(shape Shape, seed uint64) Trace {
	rng := rand.New(rand.NewPCG(seed, 1))
	t := Trace{Name: shape.Name, Instances: shape.Instances, Engines: shape.engines()}
	group := shape.groups(rng)
	mean := time.Duration(float64(time.Second) / shape.rate())
	for at := time.Duration(0); at < shape.Duration; at += time.Duration(rng.ExpFloat64() * float64(mean)) {
		r := Request{At: at.Truncate(time.Microsecond), Instance: rng.IntN(shape.Instances)}
		r.PromptBytes = 1 + lognormal(rng, unsharedBytes)
		if shape.Groups > 0 {
			r.Group, r.SharedBytes = group(), sharedBytes
			r.PromptBytes += sharedBytes
		} else {
			r.PromptBytes += sharedBytes / 2
		}
		length := float64(shortTokens)
		if rng.Float64() < shape.LongFraction {
			length = longTokens
		}
		r.Tokens = 1 + lognormal(rng, length)
		r.MaxTokens = r.Tokens + rng.IntN(r.Tokens+1) // callers ask for up to twice as much
		t.Requests = append(t.Requests, r)
	}
	return t
}

func (s Shape) engines() []EngineSpec {
	specs := make([]EngineSpec, s.Engines)
	for i := range specs {
		specs[i] = EngineSpec{TokenTime: tokenTime, PrefillRate: prefillRate, Slots: slots, CacheBlocks: cacheBlocks}
		if i < s.SlowEngines {
			specs[i].TokenTime *= 2
			specs[i].PrefillRate /= 2
		}
	}
	return specs
}

// rate returns the requests/s that use the fraction Load of the decode capacity.
func (s Shape) rate() float64 {
	perEngine := slots / (tokenTime.Seconds() * (1 + batchSlowdown*(slots-1)))
	capacity := perEngine * (float64(s.Engines) - float64(s.SlowEngines)/2)
	meanTokens := shortTokens*(1-s.LongFraction) + longTokens*s.LongFraction
	return s.Load * capacity / meanTokens
}

// groups returns a function that draws the prompt group of a request; nil if there
// are no groups.
func (s Shape) groups(rng *rand.Rand) func() int {
	if s.Groups == 0 {
		return nil
	}
	if s.Skew == 0 {
		return func() int { return rng.IntN(s.Groups) }
	}
	zipf := rand.NewZipf(rng, s.Skew, 1, uint64(s.Groups-1))
	return func() int { return int(zipf.Uint64()) }
}

// lognormal draws a length from a log-normal distribution with the given mean.
func lognormal(rng *rand.Rand, mean float64) int {
	return int(mean * math.Exp(lengthSpread*rng.NormFloat64()-lengthSpread*lengthSpread/2))
}

var traceHeader = []string{"at_us", "instance", "group", "shared_bytes", "prompt_bytes", "tokens", "max_tokens"}

// WriteTrace writes the requests of a trace as CSV.
func WriteTrace(w io.Writer, requests []Request) error {
	out := csv.NewWriter(w)
	rows := [][]string{traceHeader}
	for _, r := range requests {
		row := make([]string, 0, len(traceHeader))
		for _, n := range []int{int(r.At.Microseconds()), r.Instance, r.Group, r.SharedBytes, r.PromptBytes, r.Tokens, r.MaxTokens} {
			row = append(row, strconv.Itoa(n))
		}
		rows = append(rows, row)
	}
	if err := out.WriteAll(rows); err != nil {
		return fmt.Errorf("write trace: %w", err)
	}
	return nil
}

// ReadTrace reads what WriteTrace wrote.
func ReadTrace(r io.Reader) ([]Request, error) {
	rows, err := csv.NewReader(r).ReadAll()
	if err != nil {
		return nil, fmt.Errorf("read trace: %w", err)
	}
	var requests []Request
	for i, row := range rows {
		if i == 0 {
			continue
		}
		numbers := make([]int, len(traceHeader))
		for k, text := range row {
			if numbers[k], err = strconv.Atoi(text); err != nil {
				return nil, fmt.Errorf("trace line %d: %s: %w", i+1, traceHeader[k], err)
			}
		}
		requests = append(requests, Request{
			At: time.Duration(numbers[0]) * time.Microsecond, Instance: numbers[1], Group: numbers[2],
			SharedBytes: numbers[3], PromptBytes: numbers[4], Tokens: numbers[5], MaxTokens: numbers[6],
		})
	}
	return requests, nil
}
