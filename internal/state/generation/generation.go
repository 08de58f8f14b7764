// Package generation holds the table of generations in flight and their token
// logs. The relay writes; caller connections read through a Cursor.
package generation

import (
	"slices"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/suspect"
)

// Fork is a point at which a line left its parent.
type Fork struct {
	Line     model.LineID // parent line
	Position int          // tokens that both lines share
}

// VersionRule says why an attempt runs on its version.
type VersionRule string

// Rules for the version.
const (
	VersionOnly     VersionRule = "only version" // no move, or no upstream of the previous version
	VersionTarget   VersionRule = "within target share"
	VersionPrevious VersionRule = "outside target share"
	VersionStopped  VersionRule = "target stopped"
	VersionOfLine   VersionRule = "version of the line" // a line never changes its version
	VersionAny      VersionRule = "any version"         // the document has no plan
)

// UpstreamRule says why an attempt runs on its upstream.
type UpstreamRule string

// Rules for the upstream.
const (
	UpstreamEarliest   UpstreamRule = "earliest finish"
	UpstreamQuarantine UpstreamRule = "set aside for a suspect"
	UpstreamNoOther    UpstreamRule = "earliest finish, no other left" // avoided ones were allowed
	UpstreamStream     UpstreamRule = "stream still runs there"
)

// Choice says why an attempt runs where it does.
type Choice struct {
	Version  VersionRule
	Share    float64 // of the move's target version when it was chosen; 0 without a move
	Upstream UpstreamRule
}

// Attempt is the current run of a generation on an engine.
type Attempt struct {
	Number      int
	Incarnation uint64 // of the engine, as known at the start
	Stream      model.StreamID
	Upstream    model.UpstreamID
	Version     string
	First       int // position of the first token that this attempt produces
	Started     time.Time
	LastSeen    time.Time     // arrival of the last token, or Started
	Interval    time.Duration // smoothed time between tokens; zero before the second
	FirstWait   time.Duration // from Started to the first token; zero before it
	Expected    time.Duration // estimated time to the first token
	Choice      Choice
	Attached    bool   // joined a running stream, nothing is recomputed
	Open        bool   // the engine still works on it
	TraceParent string // W3C trace context of its span; empty unless the span is recorded
}

// PastAttempt is what is remembered of an ended attempt.
type PastAttempt struct {
	Attempt
	Ended  time.Time
	Tokens int    // tokens accepted from this attempt
	Reason string // why it ended
}

// End is the last state of a generation.
type End struct {
	FinishReason string         // "stop" or "length"; empty for a refusal
	Refusal      *model.Refusal // nil for a whole answer
}

// Record is the state of one generation. Table hands out copies that share
// the token slice; tokens are only appended, never changed.
type Record struct {
	Epoch   uint64 // set by the table; tells a record from one that it replaced
	Spec    model.GenerationSpec
	Print   suspect.Fingerprint // of the request
	Line    model.LineID
	Version string // version of the line's engines; empty until placed
	Forks   []Fork // ancestors, nearest first
	// LineCopied means that a holder has had a copy of the line from which the
	// generation can go on.
	LineCopied bool
	Tokens     []string
	HoldBack   bool // show only copied tokens
	Copied     int  // tokens known to be held by the copy holder
	Shown      int  // tokens handed to the caller, at most
	Attempt    Attempt
	History    []PastAttempt
	Failures   int // attempts in a row that brought no token
	Resumes    int // losses that were followed by another attempt
	// StreamOnly is the position below which tokens may come only from the
	// stream that was taken over: a caller has seen them, no copy has them.
	StreamOnly int
	// TakenOver is the engine stream of the lost owner. Its tokens belong to
	// the parent line as well.
	TakenOver model.StreamID
	Readers   int             // caller connections that read the log
	LeftAt    time.Time       // when the last of them left
	Deaths    int             // engines that died under this request
	LostAt    time.Time       // when output stopped; zero while an attempt makes progress
	Resumed   []time.Duration // time without output of each loss
	Recompute int             // prompt and output bytes that resuming prefilled again
	Created   time.Time
	FirstAt   time.Time // when the first token was accepted
	CopyAfter time.Time // earliest time for token copies; zero means never
	End       *End
}

// Visible returns the number of tokens that may be shown to the caller.
func (r *Record) Visible() int {
	if r.HoldBack && r.Copied < len(r.Tokens) {
		return r.Copied
	}
	return len(r.Tokens)
}

// Holds reports whether position p of the given line is part of this record's
// line: it is the line itself or an ancestor that forked at or after p.
func (r *Record) Holds(line model.LineID, p int) bool {
	if line == r.Line {
		return p <= len(r.Tokens)
	}
	shared := len(r.Tokens)
	for _, f := range r.Forks {
		shared = min(shared, f.Position)
		if f.Line == line {
			return p <= shared
		}
	}
	return false
}

// ShownLine returns the line that events name. While all tokens are the parent
// line's own and no holder knows the record's line, that is the parent: another
// takeover can then still start from the parent's copy.
func (r *Record) ShownLine() model.LineID {
	if !r.LineCopied && len(r.Forks) > 0 && r.Forks[0].Position >= len(r.Tokens) {
		return r.Forks[0].Line
	}
	return r.Line
}

// Append adds tokens of the current attempt. Those of the stream that was taken
// over are the parent line's own tokens, so they move the nearest fork.
func (r *Record) Append(tokens []string) {
	r.Tokens = append(r.Tokens, tokens...)
	if !r.Attempt.Attached || r.Attempt.Stream != r.TakenOver || len(r.Forks) == 0 {
		return
	}
	r.Forks = slices.Clone(r.Forks)
	r.Forks[0].Position = len(r.Tokens)
}
