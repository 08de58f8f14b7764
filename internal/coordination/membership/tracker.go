// Package membership decides which instances are alive, answers callers that
// ask for endpoints, and lists the addresses of other instances.
package membership

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// Times of design section 9.
const (
	// SuspectAfter is the silence after which an instance is suspected.
	SuspectAfter = 3 * time.Second
	// DeadAfter is the silence after which an instance, or a whole other
	// region, is left out.
	DeadAfter = 10 * time.Second
	// pauseLimit is the time between two calls of Tick above which this process
	// was paused. The others were not silent, it did not listen.
	pauseLimit = 1500 * time.Millisecond
)

// Tracker notes when the heartbeat counter of each instance last rose by any
// route. Only instances of the own region are suspected one by one, since
// heartbeats of other regions arrive late; another region is judged as a
// whole. A Tracker is used under one worker key and has no lock.
type Tracker struct {
	self    model.InstanceID
	region  string
	heard   map[model.InstanceID]*beat
	regions map[string]time.Time // last rise in each other region
	lastRun time.Time
	contact time.Time // last message of any peer
}

// beat is the heartbeat of one instance.
type beat struct {
	incarnation uint64
	counter     uint64
	region      string
	at          time.Time
}

// Verdict is a new state of an instance.
type Verdict struct {
	Instance    model.InstanceID
	Incarnation uint64
	State       model.InstanceState
}

// NewTracker returns a tracker for an instance of a region.
func NewTracker(self model.InstanceID, region string) *Tracker {
	return &Tracker{
		self:    self,
		region:  region,
		heard:   map[model.InstanceID]*beat{},
		regions: map[string]time.Time{},
	}
}

// Heard notes a heartbeat counter. It reports whether the counter rose.
func (t *Tracker) Heard(id model.InstanceID, incarnation, counter uint64, region string, now time.Time) bool {
	if id == t.self {
		return false
	}
	b, ok := t.heard[id]
	if ok && (incarnation < b.incarnation || (incarnation == b.incarnation && counter <= b.counter)) {
		return false
	}
	t.heard[id] = &beat{incarnation: incarnation, counter: counter, region: region, at: now}
	if region != t.region {
		t.regions[region] = now
	}
	return true
}

// Ages returns for each instance the time since its heartbeat counter last
// rose.
func (t *Tracker) Ages(now time.Time) map[model.InstanceID]time.Duration {
	ages := make(map[model.InstanceID]time.Duration, len(t.heard))
	for id, b := range t.heard {
		ages[id] = now.Sub(b.at)
	}
	return ages
}

// Contact notes that a peer sent a message or answered one.
func (t *Tracker) Contact(now time.Time) { t.contact = now }

// Forget drops an instance.
func (t *Tracker) Forget(id model.InstanceID) { delete(t.heard, id) }

// Tick returns the instances of the own region that are silent for too long.
// An instance that hears nobody does not judge the others.
func (t *Tracker) Tick(now time.Time) []Verdict {
	t.skipPause(now)
	if now.Sub(t.contact) >= SuspectAfter {
		return nil
	}
	var verdicts []Verdict
	for id, b := range t.heard {
		if b.region != t.region {
			continue
		}
		if state, silent := judge(now.Sub(b.at)); silent {
			verdicts = append(verdicts, Verdict{id, b.incarnation, state})
		}
	}
	return verdicts
}

func judge(silence time.Duration) (model.InstanceState, bool) {
	switch {
	case silence >= DeadAfter:
		return model.InstanceDead, true
	case silence >= SuspectAfter:
		return model.InstanceSuspected, true
	}
	return model.InstanceLive, false
}

// skipPause moves all times forward by the time for which this process did
// not run.
func (t *Tracker) skipPause(now time.Time) {
	pause := now.Sub(t.lastRun)
	paused := !t.lastRun.IsZero() && pause > pauseLimit
	t.lastRun = now
	if !paused {
		return
	}
	for _, b := range t.heard {
		b.at = b.at.Add(pause)
	}
	for region, at := range t.regions {
		t.regions[region] = at.Add(pause)
	}
	t.contact = t.contact.Add(pause)
}

// SilentRegions returns the other regions in which no heartbeat rose for
// DeadAfter.
func (t *Tracker) SilentRegions(now time.Time) []string {
	var silent []string
	for region, at := range t.regions {
		if now.Sub(at) >= DeadAfter {
			silent = append(silent, region)
		}
	}
	return silent
}

// OldestNews returns the longest silence of an instance of the own region that
// is not given up, and of another region.
func (t *Tracker) OldestNews(now time.Time) (instance, region time.Duration) {
	for _, b := range t.heard {
		if silence := now.Sub(b.at); b.region == t.region && silence < DeadAfter {
			instance = max(instance, silence)
		}
	}
	for _, at := range t.regions {
		region = max(region, now.Sub(at))
	}
	return instance, region
}

// RegionSilence returns the time since a heartbeat of another region rose.
func (t *Tracker) RegionSilence(region string, now time.Time) time.Duration {
	at, ok := t.regions[region]
	if !ok {
		return 0
	}
	return now.Sub(at)
}
