package forward

import (
	"errors"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/continuation"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/commitment"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// Answer is an upstream's complete answer.
type Answer struct {
	Status int
	Header Header
	Body   []byte
	// NotRun says that the upstream did not and will not run the request.
	NotRun bool
	// AddressReassigned says that the address now belongs to another upstream.
	AddressReassigned bool
	// Pause is the time for which the upstream wants no requests.
	Pause time.Duration
	// CurrentUpstream is the upstream now at the address, if that upstream gave its ID.
	CurrentUpstream model.UpstreamID
}

// Event is one event of a stream.
type Event struct {
	Position Position
	Raw      []byte // with its closing blank line
}

// CopySource identifies a copy of an engine's memory of a stream. A copy that the
// engine updates as the stream grows has the address of its holder and the request
// ID. A copy made on request has the address of the stream's engine and a handle.
type CopySource struct {
	Address string // IP:port
	ID      string
}

// Send is one attempt to have a request run by an upstream.
type Send struct {
	Upstream        model.Upstream
	Incarnation     uint64 // of the upstream; 0 means unknown
	Request         *Request
	Organisation    model.OrganisationID
	Deadline        time.Time // zero means none
	ReuseConnection bool      // the send may use a connection that served other requests
	Stream          bool
	LastPosition    Position    // position of the last event that need not be sent again
	CopyTo          string      // IP:port of the upstream that receives copies; empty means none
	ResumeFrom      *CopySource // memory copy to resume from; nil means that the prompt is read from its beginning
}

// Receiver takes the results of one send, in order. The sender calls it from its own
// goroutines, so implementations must not block and only pass the results on.
type Receiver interface {
	// UpstreamLeaving says that the upstream takes no new requests. Its answer or
	// events follow.
	UpstreamLeaving()
	// Answered delivers a complete answer; nothing follows.
	Answered(a Answer)
	// StreamBegan delivers the status and the header of a stream.
	StreamBegan(status int, header Header)
	// EventsArrived delivers events of a stream.
	EventsArrived(events []Event)
	// StreamEnded says that the answer with the stream is complete; nothing follows.
	StreamEnded()
	// ConnectionClosed says that the connection was closed after whole events, that the
	// answer has no other end, and that its engine was alive after that. Nothing follows.
	// An engine that was not is reported as Lost.
	ConnectionClosed()
	// Lost says that the send failed; nothing follows. sent says that a byte
	// of the request may have reached the upstream.
	Lost(kind continuation.Loss, cause string, sent bool)
}

// ErrStreamUnknown says that an engine does not run the stream that it is asked about.
var ErrStreamUnknown = errors.New("the engine does not run the stream")

// Sender sends requests to upstreams. Start returns at once; cancel closes the
// send's connection, after which nothing more is delivered.
type Sender interface {
	Start(s Send, to Receiver) (cancel func())
	// Probe asks an engine for its state, independently of any request. An answer that
	// does not come within the timeout is an error.
	Probe(up model.Upstream, timeout time.Duration, answered func(state EngineState, err error))
	// CheckStopped reports whether nothing listens at the upstream's address. An upstream
	// that cannot be reached is not reported as stopped.
	CheckStopped(up model.Upstream, timeout time.Duration, answered func(stopped bool))
	// RequestCopy asks the engine that runs a stream to copy its memory to another one,
	// and reports the handle of the copy once it is complete. The error is
	// ErrStreamUnknown if the engine does not run the stream.
	RequestCopy(from model.Upstream, request model.RequestID, to model.Upstream, timeout time.Duration, copied func(handle string, err error))
	// CachedParts asks an engine which parts of prompts it has in its cache.
	CachedParts(up model.Upstream, timeout time.Duration, answered func(parts []CachedPart, err error))
	// DiscardCopy frees a copy made on request that is no longer needed, at the stream's
	// engine and at the holder.
	DiscardCopy(from model.Upstream, handle string)
}

// attempt is one send that is in flight.
type attempt struct {
	number          int
	upstream        model.Upstream
	copyHolder      model.Upstream // engine that holds copies of the stream's memory; empty ID means none
	copyOnRequest   bool           // the holder gets copies on request, not as the stream grows
	copyHandle      string         // of the newest copy made on request
	work            commitment.Work
	reservedTokens  int // counted in the service's demand
	copyWork        commitment.Work
	started         time.Time
	lastSeen        time.Time
	startPosition   Position // last event accepted before this attempt
	pace            continuation.Pace
	fromCopy        bool
	status          int
	header          Header
	cancel          func()
	eventCount      int      // events that this attempt delivered
	staleEvents     int      // events of this attempt that the caller had already
	lastStale       Position // highest position among them
	ran             bool     // the upstream answered the request
	outcomeRecorded bool     // the outcome has been recorded
	returnSlot      bool     // counted at an upstream that returns from a pause
	silenceTimer    *worker.Timer
	probed          bool      // probed since the last event
	unansweredSince time.Time // first of the last probes that got no answer; zero means none
	forgotten       bool      // the state that the engine reports does not have the request
	denied          bool      // the engine answered a copy order that it does not run the stream
}

// continuationState describes the attempt to the rules of package continuation.
func (a *attempt) continuationState() continuation.Current {
	return continuation.Current{Connection: continuation.Connection{Number: a.number}, Open: true}
}

// startAttempt registers the attempt in the shared tables and sends the request to the
// attempt's upstream.
func (r *activeRequest) startAttempt(a *attempt, s Send) {
	r.attemptNumber++
	a.number = r.attemptNumber
	r.lastUpstream = a.upstream.ID
	a.started = time.Now()
	a.lastSeen = a.started
	r.inFlight[a.number] = a
	r.m.opts.Upstreams.Acquire(a.upstream.ID, a.started)
	r.takeReturnSlot(a)
	r.m.opts.Commitments.Add(a.upstream.ID, a.work)
	a.reservedTokens = a.work.MemoryTokens
	r.m.opts.Demand.RecordStart(r.service.Name, a.reservedTokens)
	if a.copyHolder.ID != "" {
		r.m.opts.Commitments.Add(a.copyHolder.ID, a.copyWork)
	}
	r.notifyWorkChanged(a)
	s.Upstream, s.Request, s.Organisation, s.Deadline = a.upstream, r.req, r.organisation, r.deadline
	if row, known := r.m.opts.Upstreams.Get(a.upstream.ID); known {
		s.Incarnation = row.Report.Incarnation
	}
	a.cancel = r.m.opts.Sender.Start(s, &receiver{r: r, number: a.number})
}

// endAttempt cancels an attempt and releases its commitments.
func (r *activeRequest) endAttempt(a *attempt) {
	if r.inFlight[a.number] != a {
		return
	}
	delete(r.inFlight, a.number)
	a.cancel()
	r.endReturnSlot(a, false)
	r.m.opts.Upstreams.Release(a.upstream.ID)
	r.m.opts.Commitments.Remove(a.upstream.ID, a.work)
	held := time.Duration(0) // unknown unless the upstream ran the whole request
	if a.ran {
		held = time.Since(a.started)
	}
	r.m.opts.Demand.RecordEnd(r.service.Name, a.reservedTokens, held, time.Now())
	if a.copyHolder.ID != "" {
		r.m.opts.Commitments.Remove(a.copyHolder.ID, a.copyWork)
	}
	r.notifyWorkChanged(a)
}

// notifyWorkChanged announces a change of a stream's work to the other instances.
// Calls are not announced, because they end before the others could use the news.
func (r *activeRequest) notifyWorkChanged(a *attempt) {
	if a.work.MemoryTokens > 0 {
		r.m.opts.StateChanged()
	}
}
