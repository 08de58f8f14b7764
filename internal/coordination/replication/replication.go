// Package replication copies token logs to another failure domain and finds a
// log again after its owner is lost.
//
// The owner of a generation sends a header to a copy holder at once. After the
// time Record.CopyAfter, which the relay sets, the owner also sends the tokens
// in batches, one of them in flight, and shows a token only once it is copied.
// A holder that does not acknowledge within AckTimeout is given up, and the
// next one in the rendezvous order is sent the whole log. Until that holder has
// acknowledged the log, tokens are shown without a copy.
package replication

import (
	"context"
	"errors"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/generation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// Header describes a generation to its copy holder.
type Header struct {
	Owner   model.InstanceID
	Spec    model.GenerationSpec
	Line    model.LineID
	Forks   []generation.Fork
	Resumes int
	Created time.Time
}

// Open creates a copy, or renews its header.
type Open struct {
	Header  Header
	Attempt generation.Attempt
}

// Append adds tokens to a copy. Tokens that the copy already has are ignored.
type Append struct {
	Request model.RequestID
	Line    model.LineID
	First   int // position of Tokens[0]
	Tokens  []string
	Attempt *generation.Attempt // nil when it did not change since the last message
}

// Close ends a copy with its last tokens.
type Close struct {
	Request model.RequestID
	Line    model.LineID
	First   int // position of Tokens[0]
	Tokens  []string
	End     *generation.End
	Drop    bool // the copy is not needed any longer
}

// Ack is a holder's answer to Open, Append and Close.
type Ack struct {
	Exists     bool // the holder has the copy's header
	Refused    bool // the holder has no room
	HeldTokens int  // tokens that the copy has
}

// Fetch asks for the log that holds a position of a line.
type Fetch struct {
	Request  model.RequestID
	Line     model.LineID
	Position int
}

// Copy is a holder's answer to Fetch.
type Copy struct {
	Found   bool
	Header  Header
	Attempt generation.Attempt
	Tokens  []string
	End     *generation.End
}

// Reader reads a log on this or another instance. Next waits for tokens or the
// end. An error of Next means that the log's instance is lost, or that ctx
// ended.
type Reader interface {
	Next(ctx context.Context) (generation.Batch, error)
}

// ErrNotHeld means that a peer answered and owns no log that holds the
// position.
var ErrNotHeld = errors.New("instance owns no log that holds the position")

// Peers sends messages to other entry processes. Calls block on the network.
type Peers interface {
	Open(ctx context.Context, to model.Instance, m Open) (Ack, error)
	Append(ctx context.Context, to model.Instance, m Append) (Ack, error)
	Close(ctx context.Context, to model.Instance, m Close) (Ack, error)
	Fetch(ctx context.Context, to model.Instance, m Fetch) (Copy, error)
	// FollowLog returns a reader of a log that the peer owns, or an error that
	// matches ErrNotHeld. The reader works until ctx ends.
	FollowLog(ctx context.Context, to model.Instance, m Fetch) (Reader, error)
}

// Counters receives the events that are exported as metrics. Implementations
// must not block.
type Counters interface {
	// Unprotected counts tokens that are shown without a copy because no holder
	// acknowledged them in time.
	Unprotected(tokens int)
	// Copied counts tokens that a holder acknowledged.
	Copied(tokens int)
	// TakenOver counts a log that was taken over from a copy.
	TakenOver()
}

// Timeouts and delays of the copying of logs.
const (
	// AckTimeout is the longest time for which a token is held back.
	AckTimeout = 150 * time.Millisecond
	// openTimeout bounds the sending of a header, during which no token is held
	// back. It includes a QUIC handshake and a prompt of up to 1 MB.
	openTimeout = 500 * time.Millisecond
	// maxRetryDelay bounds the time between two choices of a holder while none of
	// them acknowledges.
	maxRetryDelay = 10 * time.Second
	// noHolderRetryDelay is the time after which an instance that found no
	// possible holder looks for one again.
	noHolderRetryDelay = time.Second
	// locateStepTimeout bounds each step of Locate. Asking the owner and two
	// rounds of holders takes at most 1.5 s of the 5 s within which output must
	// continue.
	locateStepTimeout = 500 * time.Millisecond
)

// maxBatchTokens bounds the tokens of one Append, about 256 kB.
const maxBatchTokens = 32 << 10

// newHeader returns the header of a record that owner owns.
func newHeader(owner model.InstanceID, r *generation.Record) Header {
	return Header{
		Owner:   owner,
		Spec:    r.Spec,
		Line:    r.Line,
		Forks:   r.Forks,
		Resumes: r.Resumes,
		Created: r.Created,
	}
}
