// Command controld is the control process of an instance.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/apex/log"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/settings"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/telemetry"
)

type commandLine struct {
	Settings    string `arg:"" help:"YAML settings file." type:"path"`
	CheckConfig bool   `help:"Check the settings and exit."`
}

func main() {
	var cli commandLine
	kong.Parse(&cli, kong.Name("controld"), kong.Description("Control process of a sequoiavalve instance."))
	if err := run(cli); err != nil {
		fmt.Fprintln(os.Stderr, "controld:", err)
		os.Exit(1)
	}
}

func run(cli commandLine) error {
	s, err := settings.LoadControld(cli.Settings)
	if err != nil || cli.CheckConfig {
		return err
	}
	tel, err := telemetry.Setup(telemetry.FromSettings("controld", s.Common))
	if err != nil {
		return err
	}
	defer func() { _ = tel.Shutdown(context.Background()) }()

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	c, err := newControl(s, log.Log)
	if err != nil {
		return err
	}
	c.start(tel.Handler())
	<-ctx.Done()
	c.leave()
	c.stop()
	return nil
}
