package operator

import (
	"fmt"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/debugapi"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/eventid"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

type explainCommand struct {
	RequestID string `arg:"" help:"Request ID, as in the header X-Request-ID."`
	Entry     string `help:"Debug URL of the entry process that the request ID names." env:"SVCTL_ENTRY" required:"" placeholder:"URL"`
}

// Help implements kong's detailed help.
func (explainCommand) Help() string {
	return `Shows each attempt with the rules that chose its version and its upstream, and the reason of its loss; of a call
to a plain service, its attempts and their results.

Example: svctl explain north-a-1-abcdefghijklmnopqrstuvwx23 --entry http://10.1.0.1:8080`
}

// Validate implements kong's check of flags.
func (c *explainCommand) Validate() error {
	if _, err := eventid.Owner(model.RequestID(c.RequestID)); err != nil {
		return err
	}
	return checkURL("--entry", c.Entry)
}

// Run implements the command.
func (c *explainCommand) Run(r *invocation) error {
	var found debugapi.Request
	if err := r.getDebug(daemon{"--entry", c.Entry}, debugapi.RequestPath+c.RequestID, &found); err != nil {
		return err
	}
	if found.Service != "" {
		return r.out.print(found, callAttemptsTable(found))
	}
	return r.out.print(found, attemptsTable(found))
}

func callAttemptsTable(found debugapi.Request) table {
	t := table{
		header: []any{"ATTEMPT", "VERSION", "UPSTREAM", "STARTED", "RESULT"},
		note:   fmt.Sprintf("request %s, %s of service %s: %s", found.Request, found.Route, found.Service, found.State),
	}
	for _, a := range found.Attempts {
		t.rows = append(t.rows, []any{a.Number, dash(a.Version), a.Upstream, timeText(a.Started), dash(a.Result)})
	}
	return t
}

func attemptsTable(found debugapi.Request) table {
	t := table{
		header: []any{"ATTEMPT", "VERSION", "VERSION CHOSEN BY", "UPSTREAM", "UPSTREAM CHOSEN BY", "STARTED", "TOKENS", "LOSS"},
		note:   fmt.Sprintf("request %s of model %s: %s, %d tokens", found.Request, found.Model, found.State, found.Tokens),
	}
	for _, a := range found.Attempts {
		t.rows = append(t.rows, []any{
			a.Number, dash(a.Version), versionText(a.Why), a.Upstream, upstreamText(a.Why), timeText(a.Started), a.Tokens, dash(a.Loss),
		})
	}
	return t
}

// versionText prints the rule for the version, with the share in a move.
func versionText(w debugapi.Why) string {
	if w.Share == 0 {
		return dash(string(w.Version))
	}
	return fmt.Sprintf("%s (%.0f%%)", w.Version, 100*w.Share)
}

// upstreamText prints the rule for the upstream, with the estimate if there
// was one.
func upstreamText(w debugapi.Why) string {
	if w.Expected == 0 {
		return dash(string(w.Upstream))
	}
	return fmt.Sprintf("%s (first token expected in %s)", w.Upstream, ageText(&w.Expected))
}
