// Package generation holds the table of generations in flight and their token
// logs. The relay appends tokens; caller connections read them through a Cursor.
package generation

import (
	"slices"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/suspect"
)

// Fork is the position at which a line branched off its parent line.
type Fork struct {
	Line     model.LineID // parent line
	Position int          // tokens that both lines share
}

// VersionRule is the reason why an attempt runs on its version.
type VersionRule string

// Reasons for the choice of a version.
const (
	VersionOnly     VersionRule = "only version" // no move, or no upstream of the previous version
	VersionTarget   VersionRule = "within target share"
	VersionPrevious VersionRule = "outside target share"
	VersionStopped  VersionRule = "target stopped"
	VersionOfLine   VersionRule = "version of the line" // a line never changes its version
	VersionAny      VersionRule = "any version"         // the document has no plan
)

// UpstreamRule is the reason why an attempt runs on its upstream.
type UpstreamRule string

// Reasons for the choice of an upstream.
const (
	UpstreamEarliest   UpstreamRule = "earliest finish"
	UpstreamQuarantine UpstreamRule = "set aside for a suspect"
	UpstreamNoOther    UpstreamRule = "earliest finish, no other left" // an excluded upstream was allowed
	UpstreamStream     UpstreamRule = "stream still runs there"
)

// Choice records why an attempt runs on its version and its upstream.
type Choice struct {
	Version  VersionRule
	Share    float64 // share of new work of the move's target version at the time of the choice; 0 without a move
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
	Interval    time.Duration // smoothed time between tokens; zero before the second token
	FirstWait   time.Duration // from Started to the first token; zero before the first token
	Expected    time.Duration // estimated time to the first token
	Choice      Choice
	Attached    bool   // joined a running stream, so the engine recomputes nothing
	Open        bool   // the engine still runs the attempt
	TraceParent string // W3C trace context of its span; empty unless the span is recorded
}

// EndedAttempt is an attempt that no longer runs, with its result.
type EndedAttempt struct {
	Attempt
	Ended  time.Time
	Tokens int    // tokens accepted from this attempt
	Reason string // why it ended
}

// End is the result of an ended generation.
type End struct {
	FinishReason string         // "stop" or "length"; empty for a refusal
	Refusal      *model.Refusal // nil for a complete answer
}

// Record is the state of one generation. Table hands out copies that share
// the token slice; tokens are only appended, never changed.
type Record struct {
	Epoch       uint64 // set by the table; differs between a record and the record that it replaced
	Spec        model.GenerationSpec
	Fingerprint suspect.Fingerprint // of the request
	Line        model.LineID
	Version     string // version of the line's engines; empty until placed
	Forks       []Fork // ancestors, nearest first
	// LineCopied means that a holder has received a copy of the line from which
	// the generation can be continued.
	LineCopied        bool
	Tokens            []string
	ShowOnlyCopied    bool // show the caller only tokens that the copy holder has
	CopiedTokens      int  // tokens that the copy holder has acknowledged
	ShownTokens       int  // upper bound of the tokens handed to the caller
	Attempt           Attempt
	History           []EndedAttempt
	FruitlessAttempts int // consecutive attempts that produced no token
	Resumes           int // lost attempts that were followed by another attempt
	// StreamOnly is the position below which tokens may come only from the
	// stream that was taken over: the caller has seen these tokens, but no copy
	// contains them.
	StreamOnly int
	// TakenOver is the engine stream that was taken over from the lost owner.
	// The stream's tokens belong to the parent line as well.
	TakenOver       model.StreamID
	Readers         int             // caller connections that read the log
	ReadersLeftAt   time.Time       // when the last reader disconnected
	Deaths          int             // engines that died while they ran this request
	OutputLostAt    time.Time       // when output stopped; zero while an attempt makes progress
	OutageDurations []time.Duration // time without output after each lost attempt
	RecomputedBytes int             // prompt and output bytes that engines prefilled again to resume
	Created         time.Time
	FirstTokenAt    time.Time // when the first token was accepted
	CopyAfter       time.Time // earliest time for token copies; zero means never
	End             *End
}

// VisibleTokens returns the number of tokens that may be shown to the caller.
func (r *Record) VisibleTokens() int {
	if r.ShowOnlyCopied && r.CopiedTokens < len(r.Tokens) {
		return r.CopiedTokens
	}
	return len(r.Tokens)
}

// Contains reports whether the first p tokens of the given line are also the
// first p tokens of this record's line: the given line is the record's line itself, or
// an ancestor from which it forked at or after p.
func (r *Record) Contains(line model.LineID, p int) bool {
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

// ShownLine returns the line that events to the caller name. While all tokens
// belong to the parent line and no holder has a copy of the record's line, it is
// the parent line, so that another takeover can start from the parent's copy.
func (r *Record) ShownLine() model.LineID {
	if !r.LineCopied && len(r.Forks) > 0 && r.Forks[0].Position >= len(r.Tokens) {
		return r.Forks[0].Line
	}
	return r.Line
}

// Append adds tokens of the current attempt. Tokens of the stream that was taken
// over belong to the parent line as well, so they move the nearest fork to the
// new end of the log.
func (r *Record) Append(tokens []string) {
	r.Tokens = append(r.Tokens, tokens...)
	if !r.Attempt.Attached || r.Attempt.Stream != r.TakenOver || len(r.Forks) == 0 {
		return
	}
	r.Forks = slices.Clone(r.Forks)
	r.Forks[0].Position = len(r.Tokens)
}
