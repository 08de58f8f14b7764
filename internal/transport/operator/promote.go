package operator

import (
	"errors"
	"fmt"
	"strings"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/environment"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/envdoc"
)

// Names of the environments.
const (
	trial      = "trial"
	production = "production"
)

type promoteCommand struct {
	From     string     `help:"Environment whose document is taken: trial." placeholder:"trial"`
	File     string     `help:"File that is taken; to trial only." placeholder:"FILE"`
	To       string     `help:"Environment that gets the document: trial or production." enum:"trial,production" required:""`
	Seen     generation `help:"Generation of --to that you saw with svctl show; 0 for none." required:"" placeholder:"GENERATION"`
	By       string     `help:"Who promotes." env:"USER" default:"unknown"`
	ChangeID string     `help:"ID of the change. Give the same ID to repeat a promotion whose outcome is unknown." placeholder:"ID"`
}

// Help implements kong's detailed help.
func (promoteCommand) Help() string {
	return `The document is checked first. It comes into force only if the generation seen is still in force.

Examples:
  svctl promote --file examples/archive-workshop.yaml --to trial --seen 4
  svctl promote --from trial --to production --seen 11`
}

// Validate implements kong's check of flags.
func (c *promoteCommand) Validate() error {
	switch {
	case (c.From == "") == (c.File == ""):
		return trace.BadParameter("one of --from and --file is required, not %s", bothOrNone(c.From != ""))
	case c.From != "" && c.From != trial:
		return trace.BadParameter("--from must be %s, not %q", trial, c.From)
	case c.From == c.To:
		return trace.BadParameter("--from and --to must differ, not both be %q", c.To)
	case c.File != "" && c.To == production:
		return trace.BadParameter("--to production takes a document from trial only, not from --file %q; promote the file to trial first", c.File)
	}
	return nil
}

func bothOrNone(both bool) string {
	if both {
		return "both"
	}
	return "none"
}

// promoteResult is the JSON form of the result of promote.
type promoteResult struct {
	Environment string `json:"environment"`
	Generation  uint64 `json:"generation"`
	Hash        string `json:"hash"`
	ChangeID    string `json:"change_id"`
	InForce     uint64 `json:"in_force"` // higher when another promotion followed
}

// Run implements the command. Before the head row, only the body is written,
// under its hash, which has no effect on its own.
func (c *promoteCommand) Run(r *invocation) error {
	head, err := c.promote(r)
	if err != nil {
		return withNothingChanged(err)
	}
	if err := c.print(r, head); err != nil {
		return trace.Errorf("generation %d of environment %s is accepted, but the result could not be printed: %v", head.Generation, c.To, err)
	}
	return nil
}

// withNothingChanged adds to the error of a failed promotion that nothing was
// changed, unless the outcome is unknown.
func withNothingChanged(err error) error {
	var unknown *environment.UnknownOutcomeError
	if errors.As(err, &unknown) || strings.Contains(err.Error(), nothingChanged) {
		return err
	}
	return fmt.Errorf("%w; %s", err, nothingChanged)
}

const nothingChanged = "nothing was changed"

func (c *promoteCommand) promote(r *invocation) (environment.Head, error) {
	source, err := c.readSource()
	if err != nil {
		return environment.Head{}, err
	}
	p, err := r.platform()
	if err != nil {
		return environment.Head{}, err
	}
	if source == nil {
		found, err := r.requireInForce(p, c.From)
		if err != nil {
			return environment.Head{}, err
		}
		source = found.source
	}
	if _, faults := envdoc.ParseForPromotion(source, r.config.Now()); len(faults) > 0 {
		return environment.Head{}, faults
	}
	return environment.Promote(r.ctx, p.Heads, p.Objects, c.newPromotion(r, source))
}

// readSource reads the document in --file. It returns nil when --from is given.
func (c *promoteCommand) readSource() ([]byte, error) {
	if c.File == "" {
		return nil, nil
	}
	return readFile(c.File)
}

func (c *promoteCommand) newPromotion(r *invocation, source []byte) environment.Promotion {
	id := c.ChangeID
	if id == "" {
		id = uuid.NewString()
	}
	return environment.Promotion{
		Environment: c.To,
		Source:      source,
		Hash:        envdoc.Hash(source),
		Seen:        uint64(c.Seen),
		ChangeID:    id,
		PromotedBy:  c.By,
		At:          r.config.Now().UTC(),
	}
}

func (c *promoteCommand) print(r *invocation, head environment.Head) error {
	inForce := head.Recent[len(head.Recent)-1].Generation
	text := fmt.Sprintf("generation %d of environment %s is accepted, change %s", head.Generation, c.To, head.ChangeID)
	if inForce != head.Generation {
		text += fmt.Sprintf("; generation %d has replaced it since", inForce)
	}
	result := promoteResult{c.To, head.Generation, head.Hash, head.ChangeID, inForce}
	return r.out.print(result, table{rows: [][]any{{text}}})
}
