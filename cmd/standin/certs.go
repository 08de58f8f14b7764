package main

import (
	"os"

	"github.com/sequoiavalve/sequoiavalve/internal/transport/peer/devcert"
)

type certsCommand struct {
	Dir   string   `help:"Directory for the PEM files." required:"" type:"path"`
	Names []string `arg:"" help:"Instances that get a certificate."`
}

// Run creates a certificate authority and a certificate for each instance.
func (c *certsCommand) Run() error {
	if err := os.MkdirAll(c.Dir, 0o700); err != nil {
		return err
	}
	authority, err := devcert.New(c.Dir)
	if err != nil {
		return err
	}
	for _, name := range c.Names {
		if _, err := authority.Issue(name); err != nil {
			return err
		}
	}
	return nil
}
