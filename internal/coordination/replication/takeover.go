package replication

import (
	"slices"

	"github.com/sequoiavalve/sequoiavalve/internal/state/generation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// record returns the copy as a record of the same line.
func (c *Copy) record() generation.Record {
	return generation.Record{
		Spec:    c.Header.Spec,
		Line:    c.Header.Line,
		Forks:   c.Header.Forks,
		Tokens:  c.Tokens,
		Attempt: c.Attempt,
		Resumes: c.Header.Resumes,
		Created: c.Header.Created,
		End:     c.End,
	}
}

// fit grades how well a copy serves a request: 2 if it holds the position, 1
// if the missing tokens before the position can come from the stream of the
// copy's attempt, 0 otherwise.
func (c *Copy) fit(m Fetch) int {
	r := c.record()
	switch {
	case !c.Found:
		return 0
	case r.Contains(m.Line, m.Position):
		return 2
	case r.Line == m.Line && m.Position > len(r.Tokens) && c.attachable():
		return 1
	}
	return 0
}

// attachable reports whether the engine stream of the copy's attempt can
// continue from the end of the copy. A stream has no tokens before its first
// position.
func (c *Copy) attachable() bool {
	return c.End == nil && c.Attempt.Stream != "" && c.Attempt.First <= len(c.Tokens)
}

// isBetterCopy reports whether copy a serves the request better than copy b.
func isBetterCopy(a, b Copy, m Fetch) bool {
	fitA, fitB := a.fit(m), b.fit(m)
	if fitA != fitB {
		return fitA > fitB
	}
	if fitA == 0 {
		return a.Found && !b.Found
	}
	if (a.End != nil) != (b.End != nil) {
		return a.End != nil
	}
	if fitA == 1 && a.Attempt.Number != b.Attempt.Number {
		return a.Attempt.Number > b.Attempt.Number
	}
	return len(a.Tokens) > len(b.Tokens)
}

// newTakeoverRecord returns a record that continues a copied log on a new
// line, forked at the end of the copy. The attempt keeps its stream only if
// the stream can be attached to. A log that ended keeps its line, since no
// more tokens are produced.
func newTakeoverRecord(c Copy, line model.LineID, position int) generation.Record {
	r := c.record()
	if !c.attachable() {
		r.Attempt.Stream = ""
	}
	r.ShownTokens = min(position, len(r.Tokens))
	r.Tokens = slices.Clip(r.Tokens)
	if r.End != nil {
		return r
	}
	fork := generation.Fork{Line: r.Line, Position: len(r.Tokens)}
	r.Forks = append([]generation.Fork{fork}, r.Forks...)
	r.Line = line
	return r
}
