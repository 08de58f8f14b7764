// Package membership decides which instances are alive, answers callers that
// ask for endpoints, and lists the addresses of other instances.
package membership

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// Times of failure detection, from section 9 of the design.
const (
	// SuspectAfter is the time without a new heartbeat after which an instance is
	// suspected.
	SuspectAfter = 3 * time.Second
	// DeadAfter is the time without a new heartbeat after which an instance is dead,
	// or another region as a whole is silent.
	DeadAfter = 10 * time.Second
	// pauseLimit is the time between two calls of Tick above which this process
	// counts as paused: heartbeats may have been sent that it did not receive.
	pauseLimit = 1500 * time.Millisecond
)

// Tracker records when the heartbeat counter of each instance last rose,
// whichever way the heartbeat came. Only instances of the own region are suspected
// one by one, since heartbeats of other regions arrive late; another region is
// silent or not as a whole. A Tracker is used under one worker key and has no
// lock.
type Tracker struct {
	self            model.InstanceID
	region          string
	heartbeats      map[model.InstanceID]*heartbeat
	regionUpdatedAt map[string]time.Time // when a counter last rose in each other region
	lastTick        time.Time
	lastContact     time.Time // time of the last message from any peer
}

// heartbeat is the latest heartbeat of one instance.
type heartbeat struct {
	incarnation uint64
	counter     uint64
	region      string
	updatedAt   time.Time
}

// StateChange is the state of an instance that is silent for too long.
type StateChange struct {
	Instance    model.InstanceID
	Incarnation uint64
	State       model.InstanceState
}

// NewTracker returns a tracker for use by the given instance in the given region.
func NewTracker(self model.InstanceID, region string) *Tracker {
	return &Tracker{
		self:            self,
		region:          region,
		heartbeats:      map[model.InstanceID]*heartbeat{},
		regionUpdatedAt: map[string]time.Time{},
	}
}

// RecordHeartbeat records a heartbeat counter and reports whether the counter rose.
func (t *Tracker) RecordHeartbeat(id model.InstanceID, incarnation, counter uint64, region string, now time.Time) bool {
	if id == t.self {
		return false
	}
	last, ok := t.heartbeats[id]
	if ok && (incarnation < last.incarnation || (incarnation == last.incarnation && counter <= last.counter)) {
		return false
	}
	t.heartbeats[id] = &heartbeat{incarnation: incarnation, counter: counter, region: region, updatedAt: now}
	if region != t.region {
		t.regionUpdatedAt[region] = now
	}
	return true
}

// Ages returns for each instance the time since its heartbeat counter last
// rose.
func (t *Tracker) Ages(now time.Time) map[model.InstanceID]time.Duration {
	ages := make(map[model.InstanceID]time.Duration, len(t.heartbeats))
	for id, h := range t.heartbeats {
		ages[id] = now.Sub(h.updatedAt)
	}
	return ages
}

// RecordContact records that a peer sent a message or answered one.
func (t *Tracker) RecordContact(now time.Time) { t.lastContact = now }

// Forget removes an instance from the tracker.
func (t *Tracker) Forget(id model.InstanceID) { delete(t.heartbeats, id) }

// Tick returns the instances of the own region whose heartbeats are overdue. If
// no message of any peer has arrived for SuspectAfter, this process may be cut off
// itself, and Tick returns none.
func (t *Tracker) Tick(now time.Time) []StateChange {
	t.skipPause(now)
	if now.Sub(t.lastContact) >= SuspectAfter {
		return nil
	}
	var verdicts []StateChange
	for id, h := range t.heartbeats {
		if h.region != t.region {
			continue
		}
		if state, silent := stateAfterSilence(now.Sub(h.updatedAt)); silent {
			verdicts = append(verdicts, StateChange{id, h.incarnation, state})
		}
	}
	return verdicts
}

func stateAfterSilence(silence time.Duration) (model.InstanceState, bool) {
	switch {
	case silence >= DeadAfter:
		return model.InstanceDead, true
	case silence >= SuspectAfter:
		return model.InstanceSuspected, true
	}
	return model.InstanceLive, false
}

// skipPause moves all recorded times forward by the time for which this process
// was paused.
func (t *Tracker) skipPause(now time.Time) {
	pause := now.Sub(t.lastTick)
	paused := !t.lastTick.IsZero() && pause > pauseLimit
	t.lastTick = now
	if !paused {
		return
	}
	for _, h := range t.heartbeats {
		h.updatedAt = h.updatedAt.Add(pause)
	}
	for region, at := range t.regionUpdatedAt {
		t.regionUpdatedAt[region] = at.Add(pause)
	}
	t.lastContact = t.lastContact.Add(pause)
}

// SilentRegions returns the other regions in which no heartbeat counter has risen
// for DeadAfter.
func (t *Tracker) SilentRegions(now time.Time) []string {
	var silent []string
	for region, at := range t.regionUpdatedAt {
		if now.Sub(at) >= DeadAfter {
			silent = append(silent, region)
		}
	}
	return silent
}

// LongestSilence returns the longest time since a heartbeat counter rose, among the
// instances of the own region that are not dead, and among the other regions.
func (t *Tracker) LongestSilence(now time.Time) (instance, region time.Duration) {
	for _, h := range t.heartbeats {
		if silence := now.Sub(h.updatedAt); h.region == t.region && silence < DeadAfter {
			instance = max(instance, silence)
		}
	}
	for _, at := range t.regionUpdatedAt {
		region = max(region, now.Sub(at))
	}
	return instance, region
}

// RegionSilence returns the time since a heartbeat counter last rose in another
// region, or 0 if there was no heartbeat from that region.
func (t *Tracker) RegionSilence(region string, now time.Time) time.Duration {
	at, ok := t.regionUpdatedAt[region]
	if !ok {
		return 0
	}
	return now.Sub(at)
}
