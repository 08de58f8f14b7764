package callerserver

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
// disconnects. A refusal before the first event is an ordinary error response.
func (s *Server) stream(x *exchange, reader *frontend.Reader, format openai.Format) {
	defer reader.Close()
	out := &eventStream{x: x, format: format, flush: http.NewResponseController(x.w).Flush}
	for {
		batch, refusal := reader.Next(x.r.Context())
		if x.r.Context().Err() != nil {
			abort()
		}
		if refusal == nil && batch.End != nil {
			refusal = batch.End.Refusal
		}
		if refusal != nil {
			s.endWithRefusal(out, refusal)
			return
		}
		if err := out.writeBatch(batch); err != nil {
			s.opts.Log.WithField("request_id", string(x.id)).Debug("caller disconnected from the stream")
			abort()
		}
		if batch.End != nil {
			return
		}
	}
}

// abort ends a response before its end, so that it does not look complete. net/http would
// complete it, also for a caller that has only closed its sending side.
func abort() { panic(http.ErrAbortHandler) }

func (s *Server) endWithRefusal(out *eventStream, refusal *model.Refusal) {
	if !out.started {
		s.refuse(out.x, refusal)
		return
	}
	event := &sse.Message{Type: sse.Type("error")}
	event.AppendData(string(problem.Encode(out.x.id, refusal)))
	if err := out.writeEvent(event); err != nil {
		s.opts.Log.WithField("request_id", string(out.x.id)).Debug("error event not delivered")
	}
}

// writeBatch writes the tokens of a batch as one event. If the generation ends
// with the batch, the finish reason and the end marker follow.
func (e *eventStream) writeBatch(b generation.Batch) error {
	if len(b.Tokens) > 0 {
		if err := e.writeChunk(b, strings.Join(b.Tokens, ""), ""); err != nil {
			return err
		}
	}
	if b.End == nil {
		return nil
	}
	if err := e.writeChunk(b, "", b.End.FinishReason); err != nil {
		return err
	}
	done := &sse.Message{}
	done.AppendData(openai.EndOfStream)
	return e.writeEvent(done)
}

func (e *eventStream) writeChunk(b generation.Batch, text, finishReason string) error {
	e.format.Model = b.Model
	data, err := e.format.Chunk(text, finishReason)
	if err != nil {
		return err
	}
	id := eventid.ID{Request: e.x.id, Line: b.Line, Position: b.First + len(b.Tokens)}
	event := &sse.Message{ID: sse.ID(eventid.Format(id))}
	event.AppendData(string(data))
	return e.writeEvent(event)
}

func (e *eventStream) writeEvent(event *sse.Message) error {
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
