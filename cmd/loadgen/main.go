// Command loadgen streams generations and calls services as a caller does,
// and checks what it receives.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

type commandLine struct {
	Stream  streamCommand  `cmd:"" help:"Stream one generation, reconnect when the connection is lost, and check each token."`
	Load    loadCommand    `cmd:"" help:"Stream many generations at once and report latencies."`
	Call    callCommand    `cmd:"" help:"Call a service route under an idempotency key."`
	Measure measureCommand `cmd:"" help:"Measure resume latency, routing, relay cost and slopes."`

	Experiment experimentCommand `cmd:"" help:"Run instances on stand-ins of the users' platform under the load and faults of a file, once for each policy."`
	Bookings   bookingsCommand   `cmd:"" help:"Call a non-idempotent route under many keys, each of them twice."`
}

func main() {
	var cli commandLine
	parsed := kong.Parse(&cli, kong.Name("loadgen"),
		kong.Description("Load and measurement tool for sequoiavalve."), kong.UsageOnError())
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	parsed.BindTo(ctx, (*context.Context)(nil))
	parsed.FatalIfErrorf(parsed.Run())
}
