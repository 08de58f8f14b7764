package generation

import (
	"context"
	"slices"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// Cursor reads the token log of one record from a position on.
type Cursor struct {
	table    *Table
	request  model.RequestID
	epoch    uint64
	position int
}

// NewCursor returns a cursor that starts after the given number of tokens.
func (t *Table) NewCursor(id model.RequestID, position int) *Cursor {
	r, _ := t.Get(id)
	return &Cursor{table: t, request: id, epoch: r.Epoch, position: position}
}

// Batch is the result of one read of a cursor: tokens, the end, or both; neither
// if the record was removed.
type Batch struct {
	Model   string // model that the caller requested
	Line    model.LineID
	First   int // position of Tokens[0]
	Tokens  []string
	End     *End
	Removed bool // the record was removed or replaced
}

// Next waits for tokens after the cursor's position or for the end.
func (c *Cursor) Next(ctx context.Context) (Batch, error) {
	for {
		batch, changed := c.poll()
		if changed == nil {
			return batch, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Batch{}, ctx.Err()
		}
	}
}

// poll returns a batch, or a channel that is closed at the next change if there
// is nothing to read yet.
func (c *Cursor) poll() (Batch, <-chan struct{}) {
	s := c.table.shard(c.request)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[c.request]
	if !ok || e.record.Epoch != c.epoch {
		return Batch{Removed: true}, nil
	}
	r := &e.record
	batch := Batch{Model: r.Spec.Model, Line: r.ShownLine(), First: c.position}
	visible := r.VisibleTokens()
	if r.End != nil {
		visible = len(r.Tokens)
	}
	if c.position < visible {
		batch.Tokens = slices.Clip(r.Tokens[c.position:visible])
		c.position = visible
		r.ShownTokens = max(r.ShownTokens, visible)
	}
	if r.End != nil && c.position >= len(r.Tokens) {
		batch.End = r.End
		return batch, nil
	}
	if len(batch.Tokens) == 0 {
		return batch, e.changed
	}
	return batch, nil
}
