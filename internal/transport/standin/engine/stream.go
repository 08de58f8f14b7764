package engine

import (
	"strings"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/engineapi"
)

// Reasons for which a stream finishes.
const (
	finishLength = "length"
	finishStop   = "stop"
)

// phase is the state of a stream.
type phase int

const (
	phaseWaiting phase = iota
	phaseRunning       // has a slot: prefill or decode
	phaseFinished
	phaseAborted // cancelled or lost
)

// stream is one attempt at a request. The batch's lock guards it.
type stream struct {
	id        string
	request   engineapi.CompletionRequest
	source    tokenSource
	maxTokens int    // including the tokens of ContinueFrom
	arrival   uint64 // sequence number of acceptance

	phase        phase
	readyAt      time.Time // end of the prefill
	tokens       []string  // by position; append only
	finishReason string    // empty until phaseFinished
	readers      map[*reader]struct{}
	expiresAt    time.Time // set while there is no reader

	checkedMarker string // crash marker for which hasMarker was computed
	hasMarker     bool
}

// reader is one connection that receives a stream. The batch's lock guards
// next and noticed; wake is signalled when there may be something to read.
type reader struct {
	stream     *stream
	next       int  // position of the next token to send
	noticeSent bool // the leaving notice was sent
	wake       chan struct{}
}

func (r *reader) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func newStream(request engineapi.CompletionRequest, version string, noise bool) *stream {
	version = AdaptedVersion(version, request.Adapter)
	source := newTokenSource(version, request.Prompt, request.Seed)
	if noise {
		source = newNoisySource(version, request.Prompt, request.Seed, request.StreamID)
	}
	return &stream{
		id:        request.StreamID,
		request:   request,
		source:    source,
		maxTokens: orDefault(request.MaxTokens, defaultMaxTokens),
		tokens:    append([]string(nil), request.ContinueFrom...),
		readers:   map[*reader]struct{}{},
	}
}

// input returns the text that the prefill reads.
func (s *stream) input() string {
	return s.request.Prompt + strings.Join(s.request.ContinueFrom, "")
}

// produce adds the next token or finishes the stream. It reports whether it
// added one.
func (s *stream) produce() bool {
	if len(s.tokens) >= s.maxTokens {
		s.finishWith(finishLength)
		return false
	}
	s.tokens = append(s.tokens, s.source.tokenAt(len(s.tokens)))
	switch {
	case s.endsWithStop():
		s.finishWith(finishStop)
	case len(s.tokens) >= s.maxTokens:
		s.finishWith(finishLength)
	}
	return true
}

func (s *stream) finishWith(reason string) {
	s.phase = phaseFinished
	s.finishReason = reason
}

// endsWithStop reports whether the text now ends with a stop sequence. The sequence
// itself stays in the text.
func (s *stream) endsWithStop() bool {
	for _, stop := range s.request.Stop {
		if stop != "" && strings.HasSuffix(s.tail(len(stop)), stop) {
			return true
		}
	}
	return false
}

// tail returns the text of the last tokens: at least n bytes, or the whole text if
// it is shorter.
func (s *stream) tail(n int) string {
	first, length := len(s.tokens), 0
	for first > 0 && length < n {
		first--
		length += len(s.tokens[first])
	}
	return strings.Join(s.tokens[first:], "")
}

// crashesNext reports whether the engine crashes instead of producing the next
// token of the stream.
func (s *stream) crashesNext(marker string, position int) bool {
	if marker == "" || len(s.tokens) < position {
		return false
	}
	if s.checkedMarker != marker {
		s.checkedMarker = marker
		s.hasMarker = strings.Contains(s.request.Prompt, marker)
	}
	return s.hasMarker
}

func (s *stream) signalReaders() {
	for r := range s.readers {
		r.signal()
	}
}

// waitQueue is a heap of waiting streams, ordered by priority and then arrival.
type waitQueue []*stream

func (q waitQueue) Len() int { return len(q) }
func (q waitQueue) Less(i, j int) bool {
	if q[i].request.Priority != q[j].request.Priority {
		return q[i].request.Priority < q[j].request.Priority
	}
	return q[i].arrival < q[j].arrival
}
func (q waitQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *waitQueue) Push(x any) { *q = append(*q, x.(*stream)) }

// Pop implements heap.Interface.
func (q *waitQueue) Pop() any {
	last := len(*q) - 1
	s := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return s
}
