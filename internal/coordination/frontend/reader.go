package frontend

import (
	"context"
	"errors"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/replication"
	"github.com/sequoiavalve/sequoiavalve/internal/state/generation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

var errForgotten = errors.New("it is no longer remembered")

// Reader reads one generation for one caller. If another instance owns the
// generation and is lost, this instance takes the generation over and the reader
// continues from there. A Reader is used by one goroutine.
type Reader struct {
	frontend *Frontend
	id       model.RequestID
	source   replication.Reader
	isLocal  bool
	leave    func() // ends the reading of a generation of this instance
	line     model.LineID
	position int
	finished bool
}

func (f *Frontend) newLocalReader(id model.RequestID, position int) *Reader {
	return &Reader{
		leave:    f.opts.Relay.AddReader(id),
		frontend: f,
		id:       id,
		source:   f.opts.Generations.NewCursor(id, position),
		isLocal:  true,
		position: position,
	}
}

func (f *Frontend) newRemoteReader(id model.RequestID, line model.LineID, position int, source replication.Reader) *Reader {
	return &Reader{frontend: f, id: id, source: source, line: line, position: position}
}

// Next waits for the next tokens or the end of the generation.
func (r *Reader) Next(ctx context.Context) (generation.Batch, *model.Refusal) {
	batch, err := r.source.Next(ctx)
	if err != nil && ctx.Err() == nil && !r.isLocal {
		batch, err = r.takeOver(ctx)
	}
	switch {
	case err != nil:
		return generation.Batch{}, continuationRefusal(err)
	case batch.Removed:
		return generation.Batch{}, continuationRefusal(errForgotten)
	}
	r.line = batch.Line
	r.position += len(batch.Tokens)
	r.finished = batch.End != nil
	return batch, nil
}

// takeOver replaces a lost source by resuming the generation.
func (r *Reader) takeOver(ctx context.Context) (generation.Batch, error) {
	next, refusal := r.frontend.Resume(ctx, r.id, r.line, r.position)
	if refusal != nil {
		return generation.Batch{}, refusal
	}
	r.source, r.isLocal, r.leave = next.source, next.isLocal, next.leave
	return r.source.Next(ctx)
}

// Close ends the reading. A generation without a reader runs on for a grace
// period, so that its caller can reconnect.
func (r *Reader) Close() {
	if r.isLocal && !r.finished {
		r.leave()
	}
}
