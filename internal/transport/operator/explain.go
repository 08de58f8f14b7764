package operator

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"github.com/gravitational/trace"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/debugapi"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/eventid"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/problem"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// maxAnswer bounds the answer of an entry process. A request has a few
// attempts of about 100 bytes each.
const maxAnswer = 1 << 20

type explainCommand struct {
	RequestID string `arg:"" help:"Request ID, as in the header X-Request-ID."`
	Entry     string `help:"URL of the entry process that the request ID names." env:"SVCTL_ENTRY" required:"" placeholder:"URL"`
}

// Help implements kong's detailed help.
func (explainCommand) Help() string {
	return "Example: svctl explain north-a-1-abcdefghijklmnopqrstuvwx23 --entry http://10.1.0.1:8080"
}

// Validate implements kong's check of flags.
func (c *explainCommand) Validate() error {
	if _, err := eventid.Owner(model.RequestID(c.RequestID)); err != nil {
		return err
	}
	return checkURL("--entry", c.Entry)
}

// Run implements the command.
func (c *explainCommand) Run(r *run) error {
	found, err := c.fetch(r)
	if err != nil {
		return err
	}
	t := table{
		header: []any{"REQUEST", "MODEL", "VERSION", "ATTEMPT", "UPSTREAM", "STARTED", "TOKENS", "LOSS"},
	}
	for i, a := range found.Attempts {
		t.rows = append(t.rows, []any{found.Request, found.Model, found.Version, i + 1, a.Upstream, timeText(a.Started), a.Tokens, dash(a.Loss)})
	}
	return r.out.print(found, t)
}

// fetch asks the entry process.
func (c *explainCommand) fetch(r *run) (*debugapi.Request, error) {
	address, err := url.JoinPath(c.Entry, debugapi.RequestPath, c.RequestID)
	if err != nil {
		return nil, trace.BadParameter("--entry %q: %v", c.Entry, err)
	}
	request, err := http.NewRequestWithContext(r.ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, trace.Errorf("entry process %s does not answer: %v", c.Entry, err)
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer))
	if err != nil {
		return nil, trace.Errorf("entry process %s broke off its answer: %v", c.Entry, err)
	}
	return c.decode(answer, body)
}

func (c *explainCommand) decode(answer *http.Response, body []byte) (*debugapi.Request, error) {
	if answer.StatusCode != http.StatusOK {
		if _, refusal, err := problem.Decode(answer.Header, body); err == nil {
			return nil, trace.Errorf("entry process %s refused: %v", c.Entry, refusal)
		}
		return nil, trace.Errorf("entry process %s answered with status %s", c.Entry, answer.Status)
	}
	var found debugapi.Request
	if err := json.Unmarshal(body, &found); err != nil {
		return nil, trace.Errorf("entry process %s answered with invalid JSON: %v", c.Entry, err)
	}
	return &found, nil
}
