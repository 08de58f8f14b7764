package main

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/transport/measure"
)

type measureCommand struct {
	Seed       uint64   `help:"Seed of the prompts, the traces and the times of faults." default:"1"`
	Size       float64  `help:"Fraction of the full size; 0.2 takes under 3 minutes." default:"1"`
	Only       []string `help:"Sections to run; all if none is named."`
	Commit     string   `help:"Commit to name in the report." default:"unknown"`
	Callers    string   `help:"Address of the entry process to measure." placeholder:"IP:PORT"`
	Model      string   `help:"Model to request from that entry process." default:"writer"`
	EntryPID   int      `help:"Process ID of that entryd."`
	ControlPID int      `help:"Process ID of its controld."`
}

// Run prints the measurements as one table.
func (c *measureCommand) Run(ctx context.Context) error {
	began := time.Now()
	fmt.Printf("commit %s, seed %d, size %v, %s, %d processors\n", c.Commit, c.Seed, c.Size, runtime.Version(), runtime.NumCPU())
	rows, err := measure.Run(ctx, measure.Config{
		Seed: c.Seed,
		Size: c.Size,
		Deployment: measure.Deployment{
			CallerAddress: c.Callers, Model: c.Model, EntryPID: c.EntryPID, ControlPID: c.ControlPID,
		},
	}, c.Only)
	if err != nil {
		return err
	}
	if err := measure.Print(os.Stdout, rows); err != nil {
		return err
	}
	fmt.Printf("took %v\n", time.Since(began).Round(time.Second))
	return nil
}
