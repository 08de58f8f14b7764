package callers

import (
	"net/http"
	"strings"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/frontend"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/eventid"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/openai"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/problem"
	"github.com/sequoiavalve/sequoiavalve/internal/state/generation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/tmaxmax/go-sse"
)

// eventStream writes the events of one generation.
type eventStream struct {
	x       *exchange
	format  openai.Format
	flush   func() error
	started bool
}

// stream sends a generation as server-sent events until it ends or the caller
// leaves. A refusal before the first event is an ordinary error response.
func (s *Server) stream(x *exchange, reader *frontend.Reader, format openai.Format) {
	defer reader.Close()
	out := &eventStream{x: x, format: format, flush: http.NewResponseController(x.w).Flush}
	for {
		batch, refusal := reader.Next(x.r.Context())
		if x.r.Context().Err() != nil {
			return
		}
		if refusal == nil && batch.End != nil {
			refusal = batch.End.Refusal
		}
		if refusal != nil {
			s.endRefused(out, refusal)
			return
		}
		if err := out.batch(batch); err != nil {
			s.opts.Log.WithField("request_id", string(x.id)).Debug("caller left the stream")
			return
		}
		if batch.End != nil {
			return
		}
	}
}

func (s *Server) endRefused(out *eventStream, refusal *model.Refusal) {
	if !out.started {
		s.refuse(out.x, refusal)
		return
	}
	event := &sse.Message{Type: sse.Type("error")}
	event.AppendData(string(problem.Encode(out.x.id, refusal)))
	if err := out.write(event); err != nil {
		s.opts.Log.WithField("request_id", string(out.x.id)).Debug("error event not delivered")
	}
}

// batch sends the tokens of a batch as one event, and the end if it has one.
func (e *eventStream) batch(b generation.Batch) error {
	if len(b.Tokens) > 0 {
		if err := e.chunk(b, strings.Join(b.Tokens, ""), ""); err != nil {
			return err
		}
	}
	if b.End == nil {
		return nil
	}
	if err := e.chunk(b, "", b.End.FinishReason); err != nil {
		return err
	}
	done := &sse.Message{}
	done.AppendData(openai.EndOfStream)
	return e.write(done)
}

func (e *eventStream) chunk(b generation.Batch, text, finish string) error {
	e.format.Model = b.Model
	data, err := e.format.Chunk(text, finish)
	if err != nil {
		return err
	}
	id := eventid.ID{Request: e.x.id, Line: b.Line, Position: b.First + len(b.Tokens)}
	event := &sse.Message{ID: sse.ID(eventid.Format(id))}
	event.AppendData(string(data))
	return e.write(event)
}

func (e *eventStream) write(event *sse.Message) error {
	if !e.started {
		header := e.x.w.Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-store")
		e.started = true
	}
	if _, err := event.WriteTo(e.x.w); err != nil {
		return err
	}
	return e.flush()
}
