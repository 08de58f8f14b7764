package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin/fleet"
)

// fleetCommand serves the stand-ins of the users' platform.
type fleetCommand struct {
	Addr    string `help:"Loopback address of the store." default:"127.0.0.1:0" placeholder:"IP:PORT"`
	Control string `help:"Loopback address for POST /crash/ID and GET /running." default:"127.0.0.1:0" placeholder:"IP:PORT"`
	Rules   string `help:"File with the operator's rules." type:"existingfile" required:""`
	Engines int    `help:"Model workers, spread over the zones a, b and c." default:"6"`
	Desks   int    `help:"Application workers." default:"3"`
	Events  int    `help:"Events of each stream." default:"120"`
}

// Times and slots of the workers: about those of a 70B model on 8 accelerators.
const (
	fleetEventInterval = 30 * time.Millisecond
	fleetPrefillTime   = 500 * time.Millisecond
	fleetCopyInterval  = 200 * time.Millisecond
	fleetWorkTime      = 40 * time.Millisecond
	fleetSlots         = 16
)

// Run serves until SIGTERM.
func (c *fleetCommand) Run(ctx context.Context) error {
	rules, err := os.ReadFile(c.Rules)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	f, err := fleet.Start(c.Addr)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // the process ends anyway
	if err := c.addWorkers(f); err != nil {
		return err
	}
	f.Store.Put("op", "config", rules)
	listener, err := standin.Listen(c.Control)
	if err != nil {
		return err
	}
	fmt.Printf("store %s control %s\n", f.StoreAddress(), listener.Addr())
	return standin.Server{Handler: controlHandler(f)}.Run(ctx, listener)
}

// addWorkers starts the workers.
func (c *fleetCommand) addWorkers(f *fleet.Fleet) error {
	for i := range c.Engines + c.Desks {
		opts := fleet.WorkerOptions{
			ID: fmt.Sprintf("engine%d", i), Service: "engine", Zone: string(rune('a' + i%3)), Slots: fleetSlots, Events: c.Events,
			Interval: fleetEventInterval, PrefillTime: fleetPrefillTime, KVCopyInterval: fleetCopyInterval,
		}
		if i >= c.Engines {
			opts = fleet.WorkerOptions{ID: fmt.Sprintf("desk%d", i-c.Engines), Service: "desk", Zone: opts.Zone, Slots: fleetSlots, WorkTime: fleetWorkTime}
		}
		if _, err := f.Add(opts); err != nil {
			return err
		}
	}
	return nil
}

// controlHandler serves requests that crash workers or list the running ones.
func controlHandler(f *fleet.Fleet) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /crash/{id}", func(w http.ResponseWriter, r *http.Request) {
		for _, worker := range f.Workers("") {
			if worker.ID() == r.PathValue("id") {
				f.Crash(worker)
				return
			}
		}
		http.NotFound(w, r)
	})
	mux.HandleFunc("GET /running", func(w http.ResponseWriter, _ *http.Request) {
		for _, worker := range f.Workers("") {
			if n := worker.Running(); n > 0 {
				_, _ = fmt.Fprintln(w, worker.ID(), n) // fails only if the client has disconnected
			}
		}
	})
	return mux
}
