package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/engineapi"
	"github.com/sequoiavalve/sequoiavalve/internal/state/wait"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin"
)

const objectName = "text_completion"

// delivery is one connection that a stream is sent to.
type delivery struct {
	engine  *Engine
	ctx     context.Context
	session *sse.Session
	stream  *stream
	sent    int // tokens
}

// send writes a stream as server-sent events until it finishes or the
// connection ends. A stream that is gone cuts the connection.
func (e *Engine) send(w http.ResponseWriter, r *http.Request, from *reader) {
	session, err := sse.Upgrade(w, r)
	if err != nil {
		answerError(w, err)
		return
	}
	if err := session.Flush(); err != nil {
		return
	}
	d := &delivery{engine: e, ctx: r.Context(), session: session, stream: from.stream}
	for {
		part := e.batch.read(from, time.Now())
		if part.gone {
			standin.CutConnection()
		}
		if !d.sendPart(part) || part.finished {
			return
		}
		select {
		case <-from.wake:
		case <-r.Context().Done():
			return
		}
	}
}

// sendPart sends what a read returned. It reports whether to go on.
func (d *delivery) sendPart(part part) bool {
	if part.notice != nil && !d.sendEvent(sse.Type(engineapi.EventLeaving), part.notice) {
		return false
	}
	faults := d.engine.faults.Get()
	tokens := part.tokens
	cut := faults.CutAfter > 0 && d.sent+len(tokens) >= faults.CutAfter
	if cut {
		tokens = tokens[:max(0, faults.CutAfter-d.sent)]
	}
	if len(tokens) > 0 && !d.sendTokens(faults, part.position, tokens) {
		return false
	}
	if cut {
		d.cut(faults)
		return false
	}
	return !part.finished || d.sendEnd(part)
}

// sendTokens sends one chunk, subject to the faults.
func (d *delivery) sendTokens(faults Faults, position int, tokens []string) bool {
	chance := d.engine.faults.Chance
	d.sent += len(tokens)
	chunk := d.chunk(engineapi.Choice{Text: strings.Join(tokens, ""), Position: position, Tokens: tokens})
	if chance(faults.LateFraction) && wait.Sleep(d.ctx, faults.late()) != nil {
		return false
	}
	copies := 1
	switch {
	case chance(faults.SkipFraction):
		copies = 0
	case chance(faults.DuplicateFraction):
		copies = 2
	case chance(faults.WrongStreamFraction):
		chunk = d.wrongStream(chunk)
	}
	for range copies {
		if !d.sendEvent(sse.EventType{}, chunk) {
			return false
		}
	}
	return true
}

// sendEnd sends the last chunk with the total count, and the end of stream.
func (d *delivery) sendEnd(part part) bool {
	last := d.chunk(engineapi.Choice{Position: part.total, Tokens: []string{}, FinishReason: part.finish})
	return d.sendEvent(sse.EventType{}, last) && d.sendData(sse.EventType{}, engineapi.EndOfStream)
}

// cut ends the connection without an end of stream.
func (d *delivery) cut(faults Faults) {
	if faults.CutForgets {
		d.engine.batch.cancel(d.stream.id)
		d.engine.wake()
	}
	if !faults.CutClean {
		standin.CutConnection()
	}
}

func (d *delivery) chunk(choice engineapi.Choice) engineapi.Chunk {
	return engineapi.Chunk{
		ID:      d.stream.id,
		Object:  objectName,
		Model:   d.stream.request.Model,
		Choices: []engineapi.Choice{choice},
	}
}

// wrongStream returns a chunk of another running stream, or the same chunk
// under the ID of a stream that does not exist.
func (d *delivery) wrongStream(own engineapi.Chunk) engineapi.Chunk {
	id, token, position, ok := d.engine.batch.other(own.ID)
	if !ok {
		own.ID += "-other"
		return own
	}
	chunk := d.chunk(engineapi.Choice{Text: token, Position: position, Tokens: []string{token}})
	chunk.ID = id
	return chunk
}

func (d *delivery) sendEvent(kind sse.EventType, body any) bool {
	encoded, err := json.Marshal(body)
	return err == nil && d.sendData(kind, string(encoded))
}

func (d *delivery) sendData(kind sse.EventType, data string) bool {
	message := &sse.Message{Type: kind}
	message.AppendData(data)
	return d.session.Send(message) == nil && d.session.Flush() == nil
}

// sendWhole waits for a stream to finish and answers with one body.
func (e *Engine) sendWhole(w http.ResponseWriter, r *http.Request, from *reader) {
	var tokens []string
	start := len(from.stream.request.ContinueFrom)
	for {
		part := e.batch.read(from, time.Now())
		tokens = append(tokens, part.tokens...)
		if part.gone {
			standin.CutConnection()
		}
		if part.finished {
			d := &delivery{stream: from.stream}
			standin.WriteJSON(w, http.StatusOK, d.chunk(engineapi.Choice{
				Text:         strings.Join(tokens, ""),
				Position:     start,
				Tokens:       tokens,
				FinishReason: part.finish,
			}))
			return
		}
		select {
		case <-from.wake:
		case <-r.Context().Done():
			return
		}
	}
}
