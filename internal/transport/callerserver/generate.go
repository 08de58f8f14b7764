package callerserver

import (
	"errors"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/eventid"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/openai"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/problem"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/callerlimit"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/tracecontext"
	"go.opentelemetry.io/otel/trace"
)

// headerTimeout is the header with which a caller limits the wait for
// admission, in milliseconds: a generation that has not started by then is
// refused, and a call is not sent.
const headerTimeout = "X-Request-Timeout-Ms"

func invalidRequest(message string) *model.Refusal {
	return &model.Refusal{Code: problem.CodeInvalidRequest, Message: message, Outcome: model.OutcomeNotRun}
}

// completion handles a new generation, or a reconnect to one.
func (s *Server) completion(chat bool) func(*exchange) {
	return func(x *exchange) {
		lastEventID := x.r.Header.Get("Last-Event-ID")
		switch {
		case lastEventID != "" && s.allowMethods(x, http.MethodPost, http.MethodGet):
			s.reconnect(x, chat, lastEventID)
		case lastEventID == "" && s.allowMethods(x, http.MethodPost):
			s.generate(x, chat)
		}
	}
}

func (s *Server) generate(x *exchange, chat bool) {
	body, refusal := s.readBody(x)
	if refusal != nil {
		s.refuse(x, refusal)
		return
	}
	spec, streamed, err := openai.Decode(body, chat)
	if err != nil {
		s.refuse(x, invalidRequest(err.Error()))
		return
	}
	spec.Request = x.id
	spec.Organisation = x.organisation
	spec.TraceParent = tracecontext.Parent(x.r.Context())
	spec.Deadline, refusal = requestDeadline(x.r)
	if refusal == nil {
		refusal = s.opts.Frontend.Generate(spec)
	}
	if refusal != nil {
		s.refuse(x, refusal)
		return
	}
	format := openai.Format{Chat: chat, ID: string(x.id), Model: spec.Model, Created: time.Now().Unix()}
	if streamed {
		s.stream(x, s.opts.Frontend.Reader(x.id), format)
		return
	}
	s.writeCompletion(x, format)
}

// setBodyDeadline limits the time for the arrival of the request body. The
// limit also applies to a body that the handler does not read, which the server
// drains after the answer.
func (s *Server) setBodyDeadline(x *exchange) {
	if x.r.Body == http.NoBody {
		return
	}
	s.setReadDeadline(x, time.Now().Add(s.opts.BodyTimeout))
}

// clearBodyDeadline removes the limit once the body has arrived. The server
// keeps reading from the connection to detect that the caller disconnects, and a
// read timeout would abort the answer.
func (s *Server) clearBodyDeadline(x *exchange) { s.setReadDeadline(x, time.Time{}) }

func (s *Server) setReadDeadline(x *exchange, at time.Time) {
	if err := http.NewResponseController(x.w).SetReadDeadline(at); err != nil {
		s.opts.Log.WithField("request_id", string(x.id)).WithError(err).Warn("read deadline could not be set")
	}
}

// readBody reads the request body within the limits of size and time.
func (s *Server) readBody(x *exchange) ([]byte, *model.Refusal) {
	body, err := s.opts.Limits.ReadBody(x.w, x.r, s.opts.MaxBodyBytes, 0)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		s.clearBodyDeadline(x)
		x.body = body
		return body.Bytes, nil
	case errors.Is(err, callerlimit.ErrMemory):
		s.opts.Limits.Count("callers", callerlimit.CauseMemory)
		return nil, callerlimit.Refusal()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, &model.Refusal{
			Code:    problem.CodeBodyTooSlow,
			Message: "The request body did not arrive within " + s.opts.BodyTimeout.String() + ".",
			Outcome: model.OutcomeNotRun,
		}
	case errors.As(err, &tooLarge):
		return nil, &model.Refusal{
			Code:    problem.CodeBodyTooLarge,
			Message: "The request body is larger than " + strconv.FormatInt(tooLarge.Limit, 10) + " bytes.",
			Outcome: model.OutcomeNotRun,
		}
	}
	return nil, invalidRequest("The request body could not be read.")
}

func requestDeadline(r *http.Request) (time.Time, *model.Refusal) {
	text := r.Header.Get(headerTimeout)
	if text == "" {
		return time.Time{}, nil
	}
	ms, err := strconv.Atoi(text)
	if err != nil || ms <= 0 {
		return time.Time{}, invalidRequest(headerTimeout + " must be a positive number of milliseconds.")
	}
	return time.Now().Add(time.Duration(ms) * time.Millisecond), nil
}

// writeCompletion waits for the end of a generation that is not streamed and
// sends its text in one response.
func (s *Server) writeCompletion(x *exchange, format openai.Format) {
	record, err := s.opts.Frontend.Await(x.r.Context(), x.id)
	if err != nil || record.End == nil {
		abort() // the caller has disconnected
	}
	if record.End.Refusal != nil {
		s.refuse(x, record.End.Refusal)
		return
	}
	body, err := format.Whole(strings.Join(record.Tokens, ""), record.End.FinishReason, len(record.Tokens))
	if err != nil {
		s.refuse(x, problem.Of(err))
		return
	}
	x.w.Header().Set("Content-Type", "application/json")
	if _, err := x.w.Write(body); err != nil {
		s.opts.Log.WithField("request_id", string(x.id)).Debug("answer not delivered")
	}
}

// reconnect continues a stream after the last event that the caller received.
func (s *Server) reconnect(x *exchange, chat bool, lastEventID string) {
	id, err := eventid.Parse(lastEventID)
	if err != nil {
		s.refuse(x, invalidRequest("Last-Event-ID: "+err.Error()))
		return
	}
	// The body may repeat the original request. It is read and ignored: only the
	// event ID identifies the stream.
	if _, refusal := s.readBody(x); refusal != nil {
		s.refuse(x, refusal)
		return
	}
	x.id = id.Request
	trace.SpanFromContext(x.r.Context()).SetAttributes(requestAttribute(x.id))
	x.w.Header().Set(problem.HeaderRequestID, string(x.id))
	ctx := model.WithTraceParent(x.r.Context(), tracecontext.Parent(x.r.Context()))
	reader, refusal := s.opts.Frontend.Resume(ctx, id.Request, id.Line, id.Position)
	if refusal != nil {
		s.refuse(x, refusal)
		return
	}
	format := openai.Format{Chat: chat, ID: string(x.id), Created: time.Now().Unix()}
	s.stream(x, reader, format)
}
