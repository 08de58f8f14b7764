// Package operator implements the commands of svctl, the operators'
// command-line client.
package operator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/url"
	"time"

	"github.com/alecthomas/kong"
	"github.com/gravitational/trace"
)

const description = `Shows and changes the environment documents of sequoiavalve.

A document is promoted from a file to trial, and from trial to production.

Examples:
  svctl check examples/archive-workshop.yaml
  svctl diff trial examples/archive-workshop.yaml
  svctl promote --file examples/archive-workshop.yaml --to trial --seen 4
  svctl promote --from trial --to production --seen 11
  svctl moves production
  svctl upstreams production --daemon http://10.1.0.1:9090

` + exitHelp

// Config holds the dependencies of the commands.
type Config struct {
	Stdout  io.Writer
	Stderr  io.Writer
	Connect Connect
	Now     func() time.Time // nil means time.Now
}

// grammar declares the flags and the commands. Kong parses the command line into
// it.
type grammar struct {
	Platform string        `help:"URL of the platform." env:"SVCTL_PLATFORM" placeholder:"URL"`
	Output   string        `help:"Output format: table or json." enum:"table,json" default:"table"`
	Timeout  time.Duration `help:"Time after which a command gives up." default:"30s"`
	daemonFlags

	Check     checkCommand     `cmd:"" help:"Check a document file. Needs no platform."`
	Show      showCommand      `cmd:"" help:"Show the document in force."`
	Diff      diffCommand      `cmd:"" help:"Show what a document file would change."`
	Promote   promoteCommand   `cmd:"" help:"Put a document in force."`
	Moves     movesCommand     `cmd:"" help:"List the version moves of an environment."`
	Instances instancesCommand `cmd:"" help:"List the instances that the platform or a daemon knows."`
	Upstreams upstreamsCommand `cmd:"" help:"List the upstreams of the document in force, or as a daemon sees them."`
	Explain   explainCommand   `cmd:"" help:"Show which engines served a request, and why."`
}

// Validate implements kong's check of flags.
func (g *grammar) Validate() error {
	if g.Timeout <= 0 {
		return trace.BadParameter("--timeout must be above 0, not %s", g.Timeout)
	}
	return nil
}

// invocation is the context in which a command runs.
type invocation struct {
	ctx    context.Context
	config Config
	flags  *grammar
	out    printer
}

// exitPanic is the panic value that carries the exit code out of kong after it
// has printed the help.
type exitPanic int

// Run executes a command line and returns the exit code.
func Run(ctx context.Context, args []string, config Config) (code int) {
	if config.Now == nil {
		config.Now = time.Now
	}
	defer recoverExit(&code)
	var flags grammar
	parser, err := kong.New(&flags,
		kong.Name("svctl"), kong.Description(description), kong.Writers(config.Stdout, config.Stderr),
		kong.Exit(func(code int) { panic(exitPanic(code)) }))
	if err != nil {
		return report(config, err, ExitFailed)
	}
	command, err := parser.Parse(args)
	if err != nil {
		return report(config, usageError(err), ExitUsage)
	}
	ctx, cancel := context.WithTimeout(ctx, flags.Timeout)
	defer cancel()
	r := &invocation{ctx: ctx, config: config, flags: &flags, out: printer{out: config.Stdout, json: flags.Output == "json"}}
	err = command.Run(r)
	return report(config, err, exitCode(err))
}

func recoverExit(code *int) {
	switch value := recover().(type) {
	case nil:
	case exitPanic:
		*code = int(value)
	default:
		panic(value)
	}
}

// report prints the error of a command and returns its exit code.
func report(config Config, err error, code int) int {
	if err == nil {
		return code
	}
	// A failed write to standard error cannot be reported anywhere.
	_, _ = fmt.Fprintf(config.Stderr, "svctl: %v\n", err)
	return code
}

// platform connects to the platform that the command line names.
func (r *invocation) platform() (*Platform, error) {
	if r.flags.Platform == "" {
		return nil, trace.BadParameter("--platform is required: the URL of the platform, also taken from SVCTL_PLATFORM")
	}
	if err := checkURL("--platform", r.flags.Platform); err != nil {
		return nil, err
	}
	if r.config.Connect == nil {
		return nil, errors.New("this build has no platform client")
	}
	return r.config.Connect(r.flags.Platform)
}

func checkURL(flag, text string) error {
	parsed, err := url.Parse(text)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		return trace.BadParameter("%s must be a URL such as http://10.0.0.1:7000, not %q", flag, text)
	}
	return nil
}
