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
	SourceCopied                   // the owner is lost; Record continues a copy on a new line
)

// Source is a located log.
type Source struct {
	Kind   SourceKind
	Owner  model.InstanceID  // current owner; for SourceCopied, the lost owner
	Reader Reader            // nil for SourceCopied
	Record generation.Record // only for SourceCopied
	// NeedsStream means that the copy ends before the caller's position. Only
	// the engine stream of Record.Attempt can supply the missing tokens;
	// Record.Append then moves the fork behind them.
	NeedsStream bool
}

// Reason says why no log was located.
type Reason string

// Reasons for which no log was located.
const (
	ReasonUnknownOwner Reason = "unknown_owner" // the IDs name no instance
	ReasonNoCopy       Reason = "no_copy"       // no holder has a copy
	ReasonOtherLine    Reason = "other_line"    // only copies of other lines exist
	ReasonUnreachable  Reason = "unreachable"   // none of the asked instances answered
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
// remote reader works until ctx ends.
//
// Two callers can locate the same copy at the same time. The table then
// refuses the second record of the request, and its caller must call Locate
// again.
func (m *Manager) Locate(ctx context.Context, id model.RequestID, line model.LineID, position int) (Source, error) {
	req := Fetch{Request: id, Line: line, Position: position}
	if r, ok := m.opts.Table.Get(id); ok && r.Contains(line, position) {
		return Source{Kind: SourceLocal, Owner: m.opts.Self, Reader: m.opts.Table.NewCursor(id, position)}, nil
	}
	owner, ok := lineOwner(id, line)
	if !ok {
		return Source{}, &NotLocatedError{Request: id, Reason: ReasonUnknownOwner}
	}
	if source, ok := m.openRemoteReader(ctx, owner, req); ok {
		return source, nil
	}
	best, reason := m.fetchBest(ctx, owner, req)
	if best.fit(req) == 0 {
		return Source{}, &NotLocatedError{Request: id, Reason: reason}
	}
	if best.Header.Owner != owner {
		if source, ok := m.openRemoteReader(ctx, best.Header.Owner, req); ok {
			return source, nil
		}
	}
	return m.takeOverCopy(best, req), nil
}

func (m *Manager) takeOverCopy(c Copy, req Fetch) Source {
	m.opts.Counters.TakenOver()
	return Source{
		Kind:        SourceCopied,
		Owner:       c.Header.Owner,
		Record:      newTakeoverRecord(c, m.opts.NewLine(m.opts.Self, req.Request), req.Position),
		NeedsStream: c.fit(req) == 1,
	}
}

// HandleFollowLog returns a reader of a log that this instance owns, for another
// instance. It returns ErrNotHeld if no such log holds the position.
func (m *Manager) HandleFollowLog(req Fetch) (Reader, error) {
	r, ok := m.opts.Table.Get(req.Request)
	if !ok || !r.Contains(req.Line, req.Position) {
		return nil, ErrNotHeld
	}
	return m.opts.Table.NewCursor(req.Request, req.Position), nil
}

// openRemoteReader asks an instance for a reader of a log that it owns.
// locateStepTimeout bounds the time until the reader is open, not the time for
// which it is used.
func (m *Manager) openRemoteReader(ctx context.Context, owner model.InstanceID, req Fetch) (Source, bool) {
	in, ok := m.opts.Instances.Get(owner)
	if !ok || owner == m.opts.Self || in.State == model.InstanceDead {
		return Source{}, false
	}
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(locateStepTimeout, func() { cancel(context.DeadlineExceeded) })
	reader, err := m.opts.Peers.FollowLog(ctx, in, req)
	if !timer.Stop() && err == nil {
		err = context.DeadlineExceeded
	}
	if err != nil {
		cancel(err)
		return Source{}, false
	}
	return Source{Kind: SourceRemote, Owner: owner, Reader: reader}, true
}

// HandleFetch returns the log that this instance owns if it holds the
// position, or else the best of the copies held here. The log is included
// because an instance that has taken it over may not have found a holder yet.
func (m *Manager) HandleFetch(ctx context.Context, req Fetch) (Copy, error) {
	if r, ok := m.opts.Table.Get(req.Request); ok && r.Contains(req.Line, req.Position) {
		return Copy{Found: true, Header: newHeader(m.opts.Self, &r), Attempt: r.Attempt, Tokens: r.Tokens, End: r.End}, nil
	}
	if m.opts.Holder == nil {
		return Copy{}, nil
	}
	return m.opts.Holder.HandleFetch(ctx, req)
}

// fetchBest asks the possible holders, three at a time, and returns the best
// copy, or the reason for which no copy was found. If this instance is the
// owner it asks itself first: another instance may have taken the log over
// while this one was paused, and may have sent the copy here.
func (m *Manager) fetchBest(ctx context.Context, owner model.InstanceID, req Fetch) (Copy, Reason) {
	const perRound = 3
	var best Copy
	reason := ReasonUnreachable
	holders := m.possibleHolders(owner, req.Request)
	if self, ok := m.opts.Instances.Get(m.opts.Self); ok && owner == self.ID {
		holders = append([]model.Instance{self}, holders...)
	}
	for len(holders) > 0 && best.fit(req) < 2 {
		n := min(perRound, len(holders))
		copies, answered := m.fetchAll(ctx, holders[:n], req)
		for _, c := range copies {
			if isBetterCopy(c, best, req) {
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

// possibleHolders returns the instances that the owner may have chosen as
// holders. If the owner's failure domain is no longer known, it returns the
// first three choices that an owner in each domain would have.
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

// fetch asks one instance for a copy, which can be this instance.
func (m *Manager) fetch(ctx context.Context, from model.Instance, req Fetch) (Copy, error) {
	if from.ID == m.opts.Self {
		return m.HandleFetch(ctx, req)
	}
	return m.opts.Peers.Fetch(ctx, from, req)
}

func (m *Manager) fetchAll(ctx context.Context, holders []model.Instance, req Fetch) ([]Copy, bool) {
	ctx, cancel := context.WithTimeout(ctx, locateStepTimeout)
	defer cancel()
	type answer struct {
		copied Copy
		err    error
	}
	answers := make(chan answer, len(holders))
	for _, in := range holders {
		go func() {
			c, err := m.fetch(ctx, in, req)
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
