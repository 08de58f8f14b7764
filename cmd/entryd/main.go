// Command entryd is the entry process of an instance: it serves callers.
package main

import (
	"context"
	"fmt"
	"os"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/apex/log"
	"github.com/go-kratos/kratos/v2"

	"github.com/sequoiavalve/sequoiavalve/cmd/internal/signals"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/settings"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/telemetry"
)

type commandLine struct {
	Settings    string `arg:"" help:"YAML settings file." type:"path"`
	CheckConfig bool   `help:"Check the settings and exit."`
}

func main() {
	stops := signals.Catch(syscall.SIGTERM, syscall.SIGINT)
	var cli commandLine
	kong.Parse(&cli, kong.Name("entryd"), kong.Description("Entry process of a sequoiavalve instance."))
	if err := run(cli, stops); err != nil {
		fmt.Fprintln(os.Stderr, "entryd:", err)
		os.Exit(1)
	}
}

func run(cli commandLine, stops <-chan os.Signal) error {
	s, err := settings.LoadEntryd(cli.Settings)
	if err != nil || cli.CheckConfig {
		return err
	}
	tel, err := telemetry.Setup(telemetry.FromSettings("entryd", s.Common))
	if err != nil {
		return err
	}
	defer func() { _ = tel.Shutdown(context.Background()) }()

	e, err := newEntry(s, tel.Handler(), log.Log)
	if err != nil {
		return err
	}
	e.start()
	app := kratos.New(
		kratos.Name("entryd"),
		kratos.Server(e.callers),
		kratos.Signal(syscall.SIGTERM, syscall.SIGINT),
		kratos.BeforeStop(signals.OnceOnly(e.drain)),
	)
	signals.StopOn(stops, app)
	err = app.Run()
	e.stop()
	return err
}
