package operator

import (
	"fmt"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/envdoc"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

type checkCommand struct {
	File string `arg:"" help:"Document file."`
}

// Help implements kong's detailed help.
func (checkCommand) Help() string {
	return "Reports all faults at once with path and line.\n\nExample: svctl check examples/permit-office.yaml"
}

// checkResult is the JSON form of the result of check.
type checkResult struct {
	File   string       `json:"file"`
	Hash   string       `json:"hash"`
	Faults []checkFault `json:"faults"`
}

type checkFault struct {
	Path    string `json:"path"`
	Line    int    `json:"line"`
	Message string `json:"message"`
}

// Run implements the command.
func (c *checkCommand) Run(r *invocation) error {
	source, err := readFile(c.File)
	if err != nil {
		return err
	}
	_, faults := envdoc.ParseForPromotion(source, r.config.Now())
	result := checkResult{File: c.File, Hash: envdoc.Hash(source), Faults: []checkFault{}}
	for _, f := range faults {
		result.Faults = append(result.Faults, checkFault(f))
	}
	if len(faults) > 0 && !r.out.json {
		return faults.Err()
	}
	if err := r.out.print(result, table{rows: [][]any{{c.File + " is valid, hash " + result.Hash}}}); err != nil {
		return err
	}
	return faults.Err()
}

type showCommand struct {
	Environment string `arg:"" enum:"trial,production" help:"trial or production."`
	Source      bool   `help:"Print the text of the document only."`
}

// Help implements kong's detailed help.
func (showCommand) Help() string {
	return "The generation shown is the --seen of a promotion.\n\nExample: svctl show production --output json"
}

// showResult is the JSON form of the result of show.
type showResult struct {
	Environment string          `json:"environment"`
	Generation  uint64          `json:"generation"`
	Hash        string          `json:"hash"`
	ChangeID    string          `json:"change_id"`
	PromotedBy  string          `json:"promoted_by"`
	At          time.Time       `json:"at"`
	Document    *model.Document `json:"document"`
}

// Run implements the command.
func (c *showCommand) Run(r *invocation) error {
	p, err := r.platform()
	if err != nil {
		return err
	}
	found, err := r.requireInForce(p, c.Environment)
	if err != nil {
		return err
	}
	if c.Source {
		_, err := r.out.out.Write(found.source)
		return err
	}
	h := found.head
	return r.out.print(showResult{c.Environment, h.Generation, h.Hash, h.ChangeID, h.PromotedBy, h.At, found.doc}, showTable(c.Environment, found))
}

func showTable(name string, found inForce) table {
	h, doc := found.head, found.doc
	t := table{rows: [][]any{
		{"environment", name},
		{"generation", h.Generation},
		{"hash", h.Hash},
		{"change", h.ChangeID},
		{"promoted by", dash(h.PromotedBy)},
		{"at", timeText(h.At)},
		{"organisations", len(doc.Organisations)},
		{"upstreams", len(doc.Upstreams)},
	}}
	for _, m := range doc.Models {
		t.rows = append(t.rows, []any{"model " + m.Name, planText(m.Plan)})
	}
	for _, s := range doc.Services {
		t.rows = append(t.rows, []any{"service " + s.Name, planText(s.Plan)})
	}
	return t
}

func planText(p model.VersionPlan) string {
	if p.Previous == "" {
		return p.Target
	}
	return p.Previous + " -> " + p.Target + " by " + timeText(p.FinishBy)
}

type diffCommand struct {
	Environment string `arg:"" enum:"trial,production" help:"trial or production."`
	File        string `arg:"" help:"Document file."`
}

// Help implements kong's detailed help.
func (diffCommand) Help() string {
	return "Compares the document in force with the file.\n\nExample: svctl diff trial examples/archive-workshop.yaml"
}

// difference is the JSON form of one line of diff.
type difference struct {
	Path string `json:"path"`
	Old  string `json:"old"`
	New  string `json:"new"`
}

// diffResult is the JSON form of the result of diff.
type diffResult struct {
	Environment string       `json:"environment"`
	Generation  uint64       `json:"generation"`
	Changes     []difference `json:"changes"`
}

// Run implements the command.
func (c *diffCommand) Run(r *invocation) error {
	source, err := readFile(c.File)
	if err != nil {
		return err
	}
	doc, err := envdoc.Decode(source)
	if err != nil {
		return err
	}
	p, err := r.platform()
	if err != nil {
		return err
	}
	found, err := r.readInForce(p, c.Environment)
	if err != nil {
		return err
	}
	result := diffResult{Environment: c.Environment, Generation: found.head.Generation, Changes: []difference{}}
	t := table{}
	for _, change := range envdoc.Diff(found.doc, doc) {
		result.Changes = append(result.Changes, difference(change))
		t.rows = append(t.rows, []any{change})
	}
	if len(t.rows) == 0 {
		t.rows = [][]any{{"no difference"}}
	}
	t.note = fmt.Sprintf("compared with generation %d of environment %s", result.Generation, c.Environment)
	if found.doc == nil {
		t.note = fmt.Sprintf("environment %s has no document yet; it counts as generation 0", c.Environment)
	}
	return r.out.print(result, t)
}
