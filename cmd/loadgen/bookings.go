package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/transport/callerclient"
)

const (
	bookingWorkers = 8
	bookingPause   = 50 * time.Millisecond
	bookingTimeout = 10 * time.Second
)

type bookingsCommand struct {
	target
	Path     string        `help:"Path of the non-idempotent route." required:""`
	Duration time.Duration `help:"Time during which calls are made." default:"30s"`
	Seed     uint64        `help:"Seed of the random choice of instances." default:"1"`
}

// outcomeCounts counts the answers that one worker got, by whether they say that
// the booking was done.
type outcomeCounts struct {
	done, notRun, unknown, noAnswer int
}

// Run books under many keys, sends each key twice, each time to a random instance,
// and prints how many answers had each outcome. It does not check which bookings
// ran; the service counts them.
func (c *bookingsCommand) Run(ctx context.Context) error {
	client := c.client()
	until := time.Now().Add(c.Duration)
	results := make(chan outcomeCounts, bookingWorkers)
	for w := range bookingWorkers {
		go func() { results <- c.runWorker(ctx, client, w, until) }()
	}
	var sum outcomeCounts
	for range bookingWorkers {
		t := <-results
		sum.done += t.done
		sum.notRun += t.notRun
		sum.unknown += t.unknown
		sum.noAnswer += t.noAnswer
	}
	fmt.Printf("bookings: %d done, %d not run, %d unknown, %d without an answer\n", sum.done, sum.notRun, sum.unknown, sum.noAnswer)
	if sum.done == 0 {
		return errors.New("no booking succeeded")
	}
	return nil
}

func (c *bookingsCommand) runWorker(ctx context.Context, client *callerclient.Client, worker int, until time.Time) outcomeCounts {
	rng := rand.New(rand.NewPCG(c.Seed, uint64(worker)))
	var t outcomeCounts
	for n := 0; time.Now().Before(until) && ctx.Err() == nil; n++ {
		key := fmt.Sprintf("booking-%d-%d", worker, n)
		for range 2 {
			c.book(ctx, client, c.Endpoints[rng.IntN(len(c.Endpoints))], key, &t)
		}
		time.Sleep(bookingPause)
	}
	return t
}

func (c *bookingsCommand) book(ctx context.Context, client *callerclient.Client, address, key string, t *outcomeCounts) {
	ctx, cancel := context.WithTimeout(ctx, bookingTimeout)
	defer cancel()
	reply, err := client.Call(ctx, address, c.Path, key, []byte(`{}`))
	switch {
	case err != nil:
		t.noAnswer++
	case reply.Status < 300:
		t.done++
	case reply.Outcome == "not_run":
		t.notRun++
	default:
		t.unknown++
	}
}
