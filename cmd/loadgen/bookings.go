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
	Seed     uint64        `help:"Seed of the choice of instances." default:"1"`
}

// tally counts the answers of one worker by what they said of the effect.
type tally struct {
	done, notRun, unknown, lost int
}

// Run books under many keys, each of them through two instances, and prints
// what the answers said. Which bookings ran is for the service to say.
func (c *bookingsCommand) Run(ctx context.Context) error {
	client := c.client()
	until := time.Now().Add(c.Duration)
	results := make(chan tally, bookingWorkers)
	for w := range bookingWorkers {
		go func() { results <- c.work(ctx, client, w, until) }()
	}
	var sum tally
	for range bookingWorkers {
		t := <-results
		sum.done += t.done
		sum.notRun += t.notRun
		sum.unknown += t.unknown
		sum.lost += t.lost
	}
	fmt.Printf("bookings: %d done, %d not run, %d unknown, %d without an answer\n", sum.done, sum.notRun, sum.unknown, sum.lost)
	if sum.done == 0 {
		return errors.New("no booking was done")
	}
	return nil
}

func (c *bookingsCommand) work(ctx context.Context, client *callerclient.Client, worker int, until time.Time) tally {
	rng := rand.New(rand.NewPCG(c.Seed, uint64(worker)))
	var t tally
	for n := 0; time.Now().Before(until) && ctx.Err() == nil; n++ {
		key := fmt.Sprintf("booking-%d-%d", worker, n)
		for range 2 {
			c.book(ctx, client, c.Endpoints[rng.IntN(len(c.Endpoints))], key, &t)
		}
		time.Sleep(bookingPause)
	}
	return t
}

func (c *bookingsCommand) book(ctx context.Context, client *callerclient.Client, address, key string, t *tally) {
	ctx, cancel := context.WithTimeout(ctx, bookingTimeout)
	defer cancel()
	reply, err := client.Call(ctx, address, c.Path, key, []byte(`{}`))
	switch {
	case err != nil:
		t.lost++
	case reply.Status < 300:
		t.done++
	case reply.Outcome == "not_run":
		t.notRun++
	default:
		t.unknown++
	}
}
