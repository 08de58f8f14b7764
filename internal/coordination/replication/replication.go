// Package replication copies token logs to another failure domain and finds a
// log again after its owner is lost.
//
// The owner of a generation sends its header to a copy holder at once, and
// its tokens in batches, one in flight, once the generation is older than the
// relay's Record.CopyAfter. From then on tokens are shown when they are
// copied. A holder that does not acknowledge within AckTimeout is given up and
// the next one in the rendezvous order gets the whole log; until it has it,
// tokens are shown without a copy.
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

// Open starts a copy, or renews its header.
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
	Known   bool // the holder has the copy's header
	Refused bool // the holder has no room
	Held    int  // tokens that the copy has
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

// Reader reads a log, here or on another instance. Next waits for tokens or
// the end. An error of Next means that the log's instance is lost, or that ctx
// ended.
type Reader interface {
	Next(ctx context.Context) (generation.Batch, error)
}

// ErrNotHeld means that a peer answered and that it does not own a log that
// holds the position.
var ErrNotHeld = errors.New("instance owns no log that holds the position")

// Peers sends messages to other entry processes. Calls block on the network.
type Peers interface {
	Open(ctx context.Context, to model.Instance, m Open) (Ack, error)
	Append(ctx context.Context, to model.Instance, m Append) (Ack, error)
	Close(ctx context.Context, to model.Instance, m Close) (Ack, error)
	Fetch(ctx context.Context, to model.Instance, m Fetch) (Copy, error)
	// Follow returns a reader of the peer's own log, which lives until ctx
	// ends, or an error that matches ErrNotHeld.
	Follow(ctx context.Context, to model.Instance, m Fetch) (Reader, error)
}

// Counters receives events worth counting. Implementations must not block.
type Counters interface {
	// Unprotected counts tokens that are shown without a copy because no holder
	// acknowledged them in time.
	Unprotected(tokens int)
	// Copied counts tokens that a holder acknowledged.
	Copied(tokens int)
	// TakenOver counts a log that was taken over from a copy.
	TakenOver()
}

// Times of the copying of logs.
const (
	// AckTimeout is the longest time for which a token is held back.
	AckTimeout = 150 * time.Millisecond
	// openTimeout bounds the sending of a header, for which nothing is held
	// back. It includes a QUIC handshake and a prompt of up to 1 MB.
	openTimeout = 500 * time.Millisecond
	// maxRetryDelay bounds the time between two choices of a holder while none
	// acknowledges.
	maxRetryDelay = 10 * time.Second
	// noHolderDelay is the time after which an instance without any peer looks
	// for a holder again.
	noHolderDelay = time.Second
	// askTimeout bounds each step of Locate. The owner and two rounds of
	// holders take at most 1.5 s of the 5 s in which output continues.
	askTimeout = 500 * time.Millisecond
)

// maxBatchTokens bounds one Append: about 256 kB.
const maxBatchTokens = 32 << 10

// header returns the header of an own record.
func header(owner model.InstanceID, r *generation.Record) Header {
	return Header{
		Owner:   owner,
		Spec:    r.Spec,
		Line:    r.Line,
		Forks:   r.Forks,
		Resumes: r.Resumes,
		Created: r.Created,
	}
}
