// Command svctl is the operators' command-line client.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sequoiavalve/sequoiavalve/internal/transport/operator"
)

// connect makes the platform client. It is nil in a build without one; the
// commands that need the platform then say so.
var connect operator.Connect

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := operator.Run(ctx, os.Args[1:], operator.Config{Stdout: os.Stdout, Stderr: os.Stderr, Connect: connect})
	stop()
	os.Exit(code)
}
