// Command standin serves stand-ins for the outside systems: the platform, a
// model engine and a plain service. PUT /faults turns their faults on and off.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/apex/log"
	"github.com/apex/log/handlers/text"
)

// listenFlags are the flags of every stand-in.
type listenFlags struct {
	Addr  string        `help:"Loopback address to serve; port 0 takes a free one." default:"127.0.0.1:0" placeholder:"IP:PORT"`
	Drain time.Duration `help:"Time for requests in flight after SIGTERM." default:"10s"`
	Seed  uint64        `help:"Seed of the random faults." default:"1"`
}

type commandLine struct {
	Platform platformCommand `cmd:"" help:"Serve tables, objects, weights and the list of machines."`
	Engine   engineCommand   `cmd:"" help:"Serve a model engine."`
	Service  serviceCommand  `cmd:"" help:"Serve a plain service."`
	Fleet    fleetCommand    `cmd:"" help:"Serve the store and workers of the users' platform."`
	Certs    certsCommand    `cmd:"" help:"Make certificates for a local deployment."`
}

func main() {
	log.SetHandler(text.New(os.Stderr))
	var cli commandLine
	parsed := kong.Parse(&cli, kong.Name("standin"),
		kong.Description("Stand-ins for the systems around sequoiavalve."), kong.UsageOnError())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	parsed.BindTo(ctx, (*context.Context)(nil))
	parsed.FatalIfErrorf(parsed.Run())
}
