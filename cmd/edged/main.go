// Command edged runs an instance on the users' platform in one process: it
// forwards callers' requests and applies changes from the platform's store.
package main

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/apex/log"
	"github.com/go-kratos/kratos/v2"

	"github.com/sequoiavalve/sequoiavalve/cmd/internal/edge"
	"github.com/sequoiavalve/sequoiavalve/cmd/internal/signals"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/forward"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/telemetry"
	"github.com/sequoiavalve/sequoiavalve/platform"
)

// floodLimit is the number of equal log lines that are printed in 10 s. Each
// request logs one to three lines, and an instance has up to 40 requests/s at the
// target size.
const floodLimit = 1200

// collectorPercent of the machine's memory is the size from which the garbage collector
// works harder. It bounds nothing: callerlimit does. The rest is for the program's code and
// for what the collector does not count.
const collectorPercent = 60

type commandLine struct {
	Settings    string `arg:"" optional:"" env:"SEQUOIAVALVE_BOOT" help:"Settings file of the platform." type:"path"`
	MetricsPort int    `help:"TCP port of /metrics; 0 means none." default:"0"`
	LogLevel    string `help:"debug, info, warn or error." default:"info"`
	CheckConfig bool   `help:"Check the settings and exit."`
}

func main() {
	reloads := signals.Catch(syscall.SIGHUP)
	stops := signals.Catch(syscall.SIGTERM, syscall.SIGINT)
	var cli commandLine
	kong.Parse(&cli, kong.Name("edged"), kong.Description("A sequoiavalve instance on the users' platform."))
	if err := run(cli, reloads, stops); err != nil {
		fmt.Fprintln(os.Stderr, "edged:", err)
		os.Exit(1)
	}
}

func run(cli commandLine, reloads, stops <-chan os.Signal) error {
	s, err := platform.LoadSettings(cli.Settings)
	if err != nil || cli.CheckConfig {
		return err
	}
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(s.MemoryBytes / 100 * collectorPercent)
	}
	tel, err := telemetry.Setup(telemetry.Options{
		Process:       "edged",
		Instance:      string(s.Instance),
		Region:        s.Region,
		FailureDomain: string(s.FailureDomain),
		LogFormat:     telemetry.FormatJSON,
		LogLevel:      cli.LogLevel,
		LogOutput:     os.Stdout,
		FloodLimit:    floodLimit,
	})
	if err != nil {
		return err
	}
	defer func() { _ = tel.Shutdown(context.Background()) }()

	e, err := edge.New(edge.Options{
		Settings: s, MetricsPort: cli.MetricsPort, Metrics: tel.Handler(), Policy: forward.EarliestFinish, Log: log.Log,
	})
	if err != nil {
		return err
	}
	log.WithField("part", "edged").WithField("instance", string(s.Instance)).WithField("address", s.CallerAddress).Info("instance starts")
	e.Start()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go reload(ctx, reloads, cli.Settings, s)
	app := kratos.New(
		kratos.Name("edged"),
		kratos.Server(e.Servers()...),
		kratos.Signal(syscall.SIGTERM, syscall.SIGINT),
		kratos.StopTimeout(edge.StopMargin+time.Second),
		kratos.BeforeStop(signals.OnceOnly(e.Drain)),
	)
	signals.StopOn(stops, app)
	err = app.Run()
	e.Stop()
	log.WithField("part", "edged").Info("instance stops")
	return err
}
