package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/go-kratos/kratos/v2"
	kratoslog "github.com/go-kratos/kratos/v2/log"
	"github.com/gravitational/trace"
	"github.com/sequoiavalve/sequoiavalve/cmd/internal/edge"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/forward"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/experiment"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin/ports"
	"github.com/sequoiavalve/sequoiavalve/platform"
)

type experimentCommand struct {
	File  string `arg:"" help:"Experiment in YAML." type:"existingfile"`
	Plots string `help:"Folder for an SVG picture of each run." type:"path"`
	Check bool   `help:"Check the file and exit."`
}

// Run runs the experiment and prints one row for each policy.
func (c *experimentCommand) Run(ctx context.Context) error {
	src, err := os.ReadFile(c.File)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	config, faults := experiment.Parse(src)
	if len(faults) > 0 {
		return trace.BadParameter("experiment %s:\n%v", c.File, faults.Error())
	}
	if c.Check {
		return nil
	}
	// The HTTP library logs each listener of each instance.
	kratoslog.SetLogger(kratoslog.NewFilter(kratoslog.GetLogger(), kratoslog.FilterLevel(kratoslog.LevelError)))
	results, err := experiment.RunPolicies(ctx, *config, startInstance)
	if err != nil {
		return err
	}
	if err := c.plot(results); err != nil {
		return err
	}
	return experiment.Print(os.Stdout, results)
}

// plot writes the picture of each run to the folder for plots, if one is given.
func (c *experimentCommand) plot(results []experiment.Result) error {
	if c.Plots == "" {
		return nil
	}
	if err := os.MkdirAll(c.Plots, 0o755); err != nil {
		return trace.ConvertSystemError(err)
	}
	for _, r := range results {
		if err := os.WriteFile(filepath.Join(c.Plots, r.Policy+".svg"), r.TimelineSVG, 0o600); err != nil {
			return trace.ConvertSystemError(err)
		}
	}
	return nil
}

// Settings of the instances that an experiment runs.
const (
	stopTime     = 2 * time.Second
	leaveTime    = 2 * time.Second
	resendRatio  = 0.8 // as at the users' sites
	resendBurst  = 300
	resendWindow = 10 * time.Second
	exposure     = 0.1
)

// runningInstance is an instance that runs in this process.
type runningInstance struct {
	edge     *edge.Edge
	app      *kratos.App
	address  string
	finished chan struct{}
	failed   atomic.Bool
}

// startInstance starts an instance on free ports of the loopback address.
func startInstance(number int, store string, policy forward.Policy) (experiment.Instance, error) {
	var addresses [4]string
	for i := range addresses {
		port, err := ports.Free()
		if err != nil {
			return nil, err
		}
		addresses[i] = net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
	}
	e, err := edge.New(edge.Options{
		Settings: platform.Settings{
			Instance:          model.InstanceID(fmt.Sprintf("instance%d", number)),
			Region:            "r",
			FailureDomain:     model.FailureDomain(string(rune('a' + number%3))),
			CallerAddress:     addresses[0],
			ReadyAddress:      addresses[1],
			ResolutionAddress: addresses[2],
			PeerAddress:       addresses[3],
			Store:             store,
			StopTimeout:       stopTime,
			LeaveTimeout:      leaveTime,
			Resends:           platform.ResendBudget{Ratio: resendRatio, Burst: resendBurst, Window: resendWindow},
			MaxExposure:       exposure,
		},
		Policy: policy,
		Log:    &log.Logger{Handler: discard.Default, Level: log.ErrorLevel},
	})
	if err != nil {
		return nil, err
	}
	in := &runningInstance{
		edge:     e,
		app:      kratos.New(kratos.Server(e.Servers()...), kratos.Signal(syscall.SIGTERM), kratos.StopTimeout(time.Second)),
		address:  addresses[0],
		finished: make(chan struct{}),
	}
	e.Start()
	go func() {
		defer close(in.finished)
		if err := in.app.Run(); err != nil {
			in.failed.Store(true)
			log.WithField("instance", number).WithError(err).Error("instance failed")
		}
	}()
	return in, nil
}

// Address implements experiment.Instance.
func (in *runningInstance) Address() string { return in.address }

// Ready implements experiment.Instance.
func (in *runningInstance) Ready() bool { return !in.failed.Load() && in.edge.Ready() }

// ControlBytes implements experiment.Instance.
func (in *runningInstance) ControlBytes() uint64 {
	sent, _ := in.edge.Traffic()
	return sent
}

// Stop implements experiment.Instance.
func (in *runningInstance) Stop() {
	if err := in.app.Stop(); err != nil {
		log.WithError(err).Warn("stopping the instance failed")
	}
	<-in.finished
	in.edge.Stop()
}
