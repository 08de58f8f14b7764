package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/transport/callerclient"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin/engine"
)

// target has the flags that say where to send requests.
type target struct {
	Endpoints    []string `help:"Addresses that answer /v1/endpoints." required:"" placeholder:"IP:PORT"`
	Organisation string   `help:"Organisation to name in the requests."`
}

func (t target) client() *callerclient.Client {
	return callerclient.New(t.Organisation, t.Endpoints...)
}

type streamCommand struct {
	target
	Model         string        `help:"Model to request." required:""`
	Prompt        string        `help:"Prompt." default:"Tell a story."`
	Tokens        int           `help:"Number of tokens." default:"200"`
	Seed          int64         `help:"Sampling seed."`
	VerifyVersion []string      `help:"Compare the tokens with those of a stand-in engine of one of these versions."`
	MaxGap        time.Duration `help:"Longest allowed time without a token." default:"5s"`
	Timeout       time.Duration `help:"Time for the whole generation." default:"10m"`
	Transcript    string        `help:"File for the received text." type:"path"`
	Progress      bool          `help:"Print the request ID once it is known."`
}

// Run streams one generation and checks it.
func (c *streamCommand) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	printed := false
	onUpdate := func(t *callerclient.Transcript) {
		if c.Progress && !printed {
			fmt.Println("request", t.RequestID)
			printed = true
		}
	}
	generation := callerclient.Generation{Model: c.Model, Prompt: c.Prompt, MaxTokens: c.Tokens, Seed: c.Seed}
	t, err := c.client().Stream(ctx, generation, onUpdate)
	fmt.Printf("tokens %d, first after %v, longest gap %v, reconnects %d, finish %q\n",
		len(t.Tokens), t.FirstToken.Round(time.Millisecond), t.LongestGap().Round(time.Millisecond), t.Reconnects, t.FinishReason)
	if c.Transcript != "" {
		err = errors.Join(err, os.WriteFile(c.Transcript, []byte(t.Text()+"\n"), 0o644))
	}
	return errors.Join(err, checkTranscript(t, generation, c.VerifyVersion), checkGap(t, c.MaxGap))
}

func checkGap(t callerclient.Transcript, limit time.Duration) error {
	if gap := t.LongestGap(); gap > limit {
		return fmt.Errorf("output stopped for %v, at most %v is allowed", gap, limit)
	}
	return nil
}

// checkTranscript returns the first fault of a transcript, or nil.
func checkTranscript(t callerclient.Transcript, g callerclient.Generation, versions []string) error {
	switch {
	case t.OrderError != "":
		return errors.New(t.OrderError)
	case t.RefusalCode != "":
		return fmt.Errorf("the answer ended with the refusal %q", t.RefusalCode)
	case t.FinishReason == "":
		return errors.New("the answer ended without a finish reason")
	case len(t.Tokens) != g.MaxTokens:
		return fmt.Errorf("the answer has %d tokens, want %d", len(t.Tokens), g.MaxTokens)
	case len(versions) > 0 && !slices.ContainsFunc(versions, func(v string) bool { return matchesEngine(t, g, v) }):
		return fmt.Errorf("the tokens are not those of any of the versions %q", versions)
	}
	return nil
}

// matchesEngine reports whether all tokens are those of a stand-in engine of the
// version.
func matchesEngine(t callerclient.Transcript, g callerclient.Generation, version string) bool {
	for i, token := range t.Tokens {
		if token != engine.Token(version, g.Prompt, g.Seed, i) {
			return false
		}
	}
	return true
}
