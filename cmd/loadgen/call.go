package main

import (
	"context"
	"fmt"

	"github.com/sequoiavalve/sequoiavalve/internal/transport/callerclient"
)

type callCommand struct {
	target
	Path   string `help:"Path of the route." required:""`
	Key    string `help:"Idempotency key."`
	Body   string `help:"Request body." default:"{}"`
	Repeat int    `help:"How often to send the call, one after another, to all endpoints in turn." default:"1"`
}

// Run sends the call and its repeats, and fails unless all answers are the same.
func (c *callCommand) Run(ctx context.Context) error {
	client := c.client()
	var first callerclient.Reply
	for i := range c.Repeat {
		address := c.Endpoints[i%len(c.Endpoints)]
		reply, err := client.Call(ctx, address, c.Path, c.Key, []byte(c.Body))
		if err != nil {
			return fmt.Errorf("call at %s: %w", address, err)
		}
		fmt.Printf("%s: status %d %s %s\n", address, reply.Status, reply.Code, reply.Outcome)
		if reply.Status >= 300 {
			return fmt.Errorf("call at %s: status %d: %s", address, reply.Status, reply.Body)
		}
		if i == 0 {
			first = reply
		}
		if reply.Body != first.Body {
			return fmt.Errorf("repeat %d got %q, the first call got %q", i, reply.Body, first.Body)
		}
	}
	return nil
}
