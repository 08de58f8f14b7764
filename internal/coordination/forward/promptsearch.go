package forward

import (
	"time"

	"github.com/apex/log"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// A caller whose stream broke sends the same prompt again, and the engine that ran
// the stream usually still has the prompt in its cache. The instances of a cell
// tell each other which engine has which prompt. That knowledge is lost when all
// instances of the cell stop at once. Then the engines are asked for their cached
// prompts.

const (
	// promptQueryTimeout bounds the wait for the engines' lists of cached prompts. It
	// is short compared with the longest pause that a stream may have, and with the
	// time to read a prompt, about a second.
	promptQueryTimeout = 120 * time.Millisecond
	// promptSearchTTL is how long the result of a search is used for further
	// returning streams.
	promptSearchTTL = time.Second
	// maxQueriedEngines bounds the engines that are asked at once, and so the CPU
	// time and the connections of this instance. It is large because callers may
	// return to any cell, so that any engine may have their prompts.
	maxQueriedEngines = 256
)

// promptSearchKey is the worker pool key under which all prompt searches run.
const promptSearchKey worker.Key = "forward/kept"

// CachedPart is a part of a prompt that an engine has in its cache.
type CachedPart struct {
	ID     string
	Tokens int // cached tokens of the part and of what follows it
}

// promptSearch asks the engines of one service for their cached prompts. Only items
// under promptSearchKey access it.
type promptSearch struct {
	startedAt      time.Time
	knownEngines   int // engines that are not suspected to have failed
	queriedEngines int // known engines that were asked
	pendingReplies int // engines that have not answered or failed yet
	repliedEngines int
	maxTokens      map[string]int // most tokens that any engine has cached, by part ID
	waiters        []func()
}

// locatePrompt calls located once it is known which engine has the stream's prompt
// in its cache, or once the search has timed out.
func (m *Manager) locatePrompt(r *activeRequest, located func()) {
	service := r.service
	m.opts.Pool.Post(promptSearchKey, worker.Func(func() {
		s := m.promptSearches[service.Name]
		now := time.Now()
		switch {
		case s != nil && s.pendingReplies > 0:
			s.waiters = append(s.waiters, located)
		case s != nil && now.Sub(s.startedAt) < promptSearchTTL:
			located()
		default:
			m.promptSearches[service.Name] = m.startPromptSearch(service.Name, now, located)
		}
	}))
}

// startPromptSearch asks the engines of the service for their cached prompts. It
// runs under promptSearchKey.
func (m *Manager) startPromptSearch(service string, now time.Time, located func()) *promptSearch {
	s := &promptSearch{startedAt: now, maxTokens: map[string]int{}, waiters: []func(){located}}
	rows := m.opts.Upstreams.Serving(service)
	ready, _ := splitByFailure(rows, m.outagesOf(service, now), nil, now)
	s.knownEngines = len(ready)
	ready = ready[:min(len(ready), maxQueriedEngines)]
	s.queriedEngines, s.pendingReplies = len(ready), len(ready)
	if s.pendingReplies == 0 {
		s.notifyWaiters()
		return s
	}
	for _, row := range ready {
		up := row.Upstream
		m.opts.Sender.CachedParts(up, promptQueryTimeout, func(parts []CachedPart, err error) {
			m.opts.Pool.Post(promptSearchKey, worker.Func(func() { m.recordCachedParts(s, up.ID, parts, err) }))
		})
	}
	return s
}

// recordCachedParts records one engine's answer. If several engines have a part, the
// one with the most cached tokens is chosen, because it has the least left to read.
func (m *Manager) recordCachedParts(s *promptSearch, id model.UpstreamID, parts []CachedPart, err error) {
	now := time.Now()
	m.metrics.countPromptQuery(err == nil)
	if err != nil {
		m.opts.Log.WithField("upstream", string(id)).WithError(err).Info("engine did not report its cached prompts")
	}
	for _, p := range parts {
		if p.Tokens > s.maxTokens[p.ID] {
			s.maxTokens[p.ID] = p.Tokens
			m.opts.Locations.SetRemote(p.ID, id, now)
		}
	}
	if err == nil {
		s.repliedEngines++
	}
	if s.pendingReplies--; s.pendingReplies == 0 {
		m.opts.Log.WithFields(log.Fields{
			"known": s.knownEngines, "asked": s.queriedEngines, "answered": s.repliedEngines, "prompts": len(s.maxTokens), "waiting": len(s.waiters),
			"ms": now.Sub(s.startedAt).Milliseconds(),
		}).Info("asked engines for cached prompts")
		s.notifyWaiters()
	}
}

// notifyWaiters calls back the streams that wait for the result.
func (s *promptSearch) notifyWaiters() {
	for _, placed := range s.waiters {
		placed()
	}
	s.waiters = nil
}

// needsPromptSearch reports whether the caller has already received a part of the
// stream and no instance of the cell has reported which engine read its prompt.
func (r *activeRequest) needsPromptSearch() bool {
	if r.req.LastPosition == 0 || r.service.Engine == nil || r.route.Repeat != model.RepeatResume {
		return false
	}
	_, located := r.m.opts.Locations.Get(affinityKey(r.req), time.Now())
	return !located
}
