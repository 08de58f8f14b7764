package replication

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/generation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// SourceKind says where a located log is.
type SourceKind int

// Kinds of sources.
const (
	SourceLocal  SourceKind = iota // this instance owns the log
	SourceRemote                   // another instance owns the log
	SourceCopied                   // the owner is lost; Record is a new line
)

// Source is a located log.
type Source struct {
	Kind   SourceKind
	Owner  model.InstanceID  // current owner; for SourceCopied the lost one
	Reader Reader            // nil for SourceCopied
	Record generation.Record // for SourceCopied
	// NeedsStream means that the copy ends before the caller's position. Only
	// the engine stream of Record.Attempt can supply the tokens between; with
	// them the relay calls ExtendFork.
	NeedsStream bool
}

// Reason says why no log was located.
type Reason string

// Reasons.
const (
	ReasonUnknownOwner Reason = "unknown_owner" // the IDs name no instance
	ReasonNoCopy       Reason = "no_copy"       // no holder has a copy
	ReasonOtherLine    Reason = "other_line"    // only copies of other lines exist
	ReasonUnreachable  Reason = "unreachable"   // no instance that could know answered
)

// NotLocatedError says that no log holds the caller's position.
type NotLocatedError struct {
	Request model.RequestID
	Reason  Reason
}

// Error implements error.
func (e *NotLocatedError) Error() string {
	return fmt.Sprintf("no log for request %s: %s", e.Request, e.Reason)
}

// Locate finds the log that holds a position of a line, for a caller that
// reconnects. It blocks on the network and must not run on a pool worker. A
// remote reader lives until ctx ends.
//
// Two callers can locate the same copy at the same time. The second one's
// record then cannot be inserted under the request; it calls Locate again.
func (m *Manager) Locate(ctx context.Context, id model.RequestID, line model.LineID, position int) (Source, error) {
	want := Fetch{Request: id, Line: line, Position: position}
	if r, ok := m.opts.Table.Get(id); ok && r.Holds(line, position) {
		return Source{Kind: SourceLocal, Owner: m.opts.Self, Reader: m.opts.Table.Read(id, position)}, nil
	}
	first, ok := lineOwner(id, line)
	if !ok {
		return Source{}, &NotLocatedError{Request: id, Reason: ReasonUnknownOwner}
	}
	if source, ok := m.follow(ctx, first, want); ok {
		return source, nil
	}
	best, reason := m.fetchBest(ctx, first, want)
	if best.fit(want) == 0 {
		return Source{}, &NotLocatedError{Request: id, Reason: reason}
	}
	if best.Header.Owner != first {
		if source, ok := m.follow(ctx, best.Header.Owner, want); ok {
			return source, nil
		}
	}
	return m.takenOver(best, want), nil
}

func (m *Manager) takenOver(c Copy, want Fetch) Source {
	m.opts.Counters.TakenOver()
	return Source{
		Kind:        SourceCopied,
		Owner:       c.Header.Owner,
		Record:      takeOver(c, m.opts.NewLine(m.opts.Self, want.Request), want.Position),
		NeedsStream: c.fit(want) == 1,
	}
}

// HandleFollow returns a reader of an own log for another instance, or
// ErrNotHeld.
func (m *Manager) HandleFollow(want Fetch) (Reader, error) {
	r, ok := m.opts.Table.Get(want.Request)
	if !ok || !r.Holds(want.Line, want.Position) {
		return nil, ErrNotHeld
	}
	return m.opts.Table.Read(want.Request, want.Position), nil
}

// follow asks an instance for its own log. The time for the answer is
// bounded, the reader's life is not.
func (m *Manager) follow(ctx context.Context, owner model.InstanceID, want Fetch) (Source, bool) {
	in, ok := m.opts.Instances.Get(owner)
	if !ok || owner == m.opts.Self || in.State == model.InstanceDead {
		return Source{}, false
	}
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(askTimeout, func() { cancel(context.DeadlineExceeded) })
	reader, err := m.opts.Peers.Follow(ctx, in, want)
	if !timer.Stop() && err == nil {
		err = context.DeadlineExceeded
	}
	if err != nil {
		cancel(err)
		return Source{}, false
	}
	return Source{Kind: SourceRemote, Owner: owner, Reader: reader}, true
}

// HandleFetch returns the own log if it holds the position, or else what the
// own copies have: an instance that took a log over may not have found a
// holder yet.
func (m *Manager) HandleFetch(ctx context.Context, want Fetch) (Copy, error) {
	if r, ok := m.opts.Table.Get(want.Request); ok && r.Holds(want.Line, want.Position) {
		return Copy{Found: true, Header: header(m.opts.Self, &r), Attempt: r.Attempt, Tokens: r.Tokens, End: r.End}, nil
	}
	if m.opts.Holder == nil {
		return Copy{}, nil
	}
	return m.opts.Holder.HandleFetch(ctx, want)
}

// fetchBest asks the possible holders, three at a time, and returns the best
// copy, or the reason for which there is none. An owner asks itself too: its
// log may have been taken over while it was paused, and then copied to it.
func (m *Manager) fetchBest(ctx context.Context, owner model.InstanceID, want Fetch) (Copy, Reason) {
	const perRound = 3
	var best Copy
	reason := ReasonUnreachable
	holders := m.possibleHolders(owner, want.Request)
	if self, ok := m.opts.Instances.Get(m.opts.Self); ok && owner == self.ID {
		holders = append([]model.Instance{self}, holders...)
	}
	for len(holders) > 0 && best.fit(want) < 2 {
		n := min(perRound, len(holders))
		copies, answered := m.fetchAll(ctx, holders[:n], want)
		for _, c := range copies {
			if better(c, best, want) {
				best = c
			}
		}
		if answered && reason == ReasonUnreachable {
			reason = ReasonNoCopy
		}
		holders = holders[n:]
	}
	if best.Found {
		reason = ReasonOtherLine
	}
	return best, reason
}

// possibleHolders returns the instances that the owner may have chosen. When
// the owner's failure domain is no longer known, these are the first three
// choices of an owner in each domain.
func (m *Manager) possibleHolders(owner model.InstanceID, id model.RequestID) []model.Instance {
	all := m.opts.Instances.All()
	if in, ok := m.opts.Instances.Get(owner); ok {
		return Holders(id, in, all)
	}
	const perDomain = 3
	var holders []model.Instance
	seen := map[[2]string]bool{}
	for _, in := range all {
		domain := [2]string{in.Region, string(in.FailureDomain)}
		if seen[domain] {
			continue
		}
		seen[domain] = true
		in.ID = owner
		choices := Holders(id, in, all)
		for _, c := range choices[:min(perDomain, len(choices))] {
			if !slices.Contains(holders, c) {
				holders = append(holders, c)
			}
		}
	}
	return holders
}

// fetch asks one instance, which can be this one.
func (m *Manager) fetch(ctx context.Context, from model.Instance, want Fetch) (Copy, error) {
	if from.ID == m.opts.Self {
		return m.HandleFetch(ctx, want)
	}
	return m.opts.Peers.Fetch(ctx, from, want)
}

func (m *Manager) fetchAll(ctx context.Context, holders []model.Instance, want Fetch) ([]Copy, bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	type answer struct {
		copied Copy
		err    error
	}
	answers := make(chan answer, len(holders))
	for _, in := range holders {
		go func() {
			c, err := m.fetch(ctx, in, want)
			answers <- answer{c, err}
		}()
	}
	var copies []Copy
	answered := false
	for range holders {
		a := <-answers
		answered = answered || a.err == nil
		if a.err == nil && a.copied.Found {
			copies = append(copies, a.copied)
		}
	}
	return copies, answered
}
