// Command controld is the control process of an instance.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/apex/log"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/settings"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/telemetry"
)

// memoryLimit, in bytes, makes the garbage collector run earlier, so that the
// process stays within its budget of 32 MB. The limit does not cover the program
// itself, which takes about 8 MB.
const memoryLimit = 20 << 20

// maxProcessors bounds the threads that run at once. The tasks are short and
// many; with more threads the scheduler spends more time on waking them than the
// tasks take.
const maxProcessors = 2

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

	runtime.GOMAXPROCS(maxProcessors)
	debug.SetMemoryLimit(memoryLimit)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	c, err := newControl(s, tel.Handler(), log.Log)
	if err != nil {
		return err
	}
	c.start()
	<-ctx.Done()
	c.leave()
	c.stop()
	return nil
}
