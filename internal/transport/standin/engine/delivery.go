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

// delivery sends a stream to one connection.
type delivery struct {
	engine  *Engine
	ctx     context.Context
	session *sse.Session
	stream  *stream
	sent    int // number of tokens
}

// send writes a stream as server-sent events until it finishes or the
// connection ends. If the stream is aborted, send cuts the connection.
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
		result := e.batch.read(from, time.Now())
		if result.aborted {
			standin.CutConnection()
		}
		if !d.sendResult(result) || result.finished {
			return
		}
		select {
		case <-from.wake:
		case <-r.Context().Done():
			return
		}
	}
}

// sendResult sends the result of a read, subject to CutAfter. It reports whether
// the connection can send more.
func (d *delivery) sendResult(result readResult) bool {
	if result.notice != nil && !d.sendEvent(sse.Type(engineapi.EventLeaving), result.notice) {
		return false
	}
	faults := d.engine.faults.Get()
	tokens := result.tokens
	cut := faults.CutAfter > 0 && d.sent+len(tokens) >= faults.CutAfter
	if cut {
		tokens = tokens[:max(0, faults.CutAfter-d.sent)]
	}
	if len(tokens) > 0 && !d.sendTokens(faults, result.position, tokens) {
		return false
	}
	if cut {
		d.cut(faults)
		return false
	}
	return !result.finished || d.sendEnd(result)
}

// sendTokens sends one chunk, subject to the faults that delay, duplicate, skip or
// replace chunks.
func (d *delivery) sendTokens(faults Faults, position int, tokens []string) bool {
	chance := d.engine.faults.Chance
	d.sent += len(tokens)
	chunk := d.chunk(engineapi.Choice{Text: strings.Join(tokens, ""), Position: position, Tokens: tokens})
	if chance(faults.LateFraction) && wait.Sleep(d.ctx, faults.lateDelay()) != nil {
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

// sendEnd sends the last chunk, with the total number of tokens, and the end of
// stream.
func (d *delivery) sendEnd(result readResult) bool {
	last := d.chunk(engineapi.Choice{Position: result.total, Tokens: []string{}, FinishReason: result.finish})
	return d.sendEvent(sse.EventType{}, last) && d.sendData(sse.EventType{}, engineapi.EndOfStream)
}

// cut ends the delivery without an end of stream. With CutClean, the body ends
// properly.
func (d *delivery) cut(faults Faults) {
	if faults.CutForgets {
		d.engine.batch.cancel(d.stream.id)
		d.engine.postSchedule()
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
	id, token, position, ok := d.engine.batch.otherStreamToken(own.ID)
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

// sendNonStreaming waits for a stream to finish and answers with a single body.
func (e *Engine) sendNonStreaming(w http.ResponseWriter, r *http.Request, from *reader) {
	var tokens []string
	start := len(from.stream.request.ContinueFrom)
	for {
		result := e.batch.read(from, time.Now())
		tokens = append(tokens, result.tokens...)
		if result.aborted {
			standin.CutConnection()
		}
		if result.finished {
			d := &delivery{stream: from.stream}
			standin.WriteJSON(w, http.StatusOK, d.chunk(engineapi.Choice{
				Text:         strings.Join(tokens, ""),
				Position:     start,
				Tokens:       tokens,
				FinishReason: result.finish,
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
