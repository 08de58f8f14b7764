package forward

import (
	"slices"
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/continuation"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/suspicion"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/suspect"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
	"gotest.tools/v3/assert"
)

// submitAndCrash submits a call that may be repeated, crashes each upstream that gets
// the call, and returns the number of sends. Afterwards the upstreams start again.
func (b *harness) submitAndCrash() (*fakeReply, int) {
	before := len(b.sent())
	reply, _ := b.submit("/read/1")
	for at := before; at < len(b.sent()); at++ {
		b.crashedUpstreams[b.sent()[at].Upstream.ID] = true
		b.sent()[at].Lost(continuation.LossReset, "EOF", true)
		b.advance(0)
	}
	b.advance(crashCheckDelay)
	for _, send := range b.sent()[before:] {
		b.crashedUpstreams[send.Upstream.ID] = false
		b.upstreams.Apply(upstream.Report{
			Upstream: send.Upstream.ID, Incarnation: uint64(len(b.sent())), Health: upstream.HealthUp, At: time.Now(),
		})
	}
	return reply, len(b.sent()) - before
}

// Guards against a request whose caller repeats it until it has crashed all upstreams,
// one after the other.
func TestRequestThatEndsUpstreamsIsRefused(t *testing.T) {
	withHarness(t, func(b *harness) {
		const crashes = 3 // the platform counts the runs after the third
		runs := 0
		for runs < crashes {
			_, more := b.submitAndCrash()
			assert.Assert(t, more > 0)
			runs += more
		}
		later := runs - crashes
		reply, more := b.submitAndCrash()
		assert.Equal(t, more, 0)
		assert.Equal(t, reply.refused.Code, CodeCrashesUpstreams)
		assert.Equal(t, reply.refused.Outcome, model.OutcomeNotRun)
		assert.Assert(t, b.crashBroadcasts()[len(b.crashBroadcasts())-1], "the crashes were not sent to all instances")

		for range 10 { // one trial run after each delay until the limit is reached, then none
			b.advance(crashTrialDelay)
			_, more := b.submitAndCrash()
			assert.Assert(t, more <= 1)
			later += more
		}
		assert.Assert(t, later <= 3, "%d runs after the third death", later)
	})
}

// Guards against refusals of other requests while one request crashes upstreams.
func TestOthersAreServedBesideARequestThatEndsUpstreams(t *testing.T) {
	withHarness(t, func(b *harness) {
		for range 3 {
			b.submitAndCrash()
		}
		b.advance(10 * time.Second)
		reply, _ := b.submit("/read/2")
		b.lastSend().Answered(Answer{Status: 200})
		b.advance(0)
		assert.Equal(t, reply.answer.Status, 200)
	})
}

// Guards against a request that is refused because live upstreams reset its
// connections, or because many upstreams failed at once.
func TestOtherLossesDoNotCountAsCrashes(t *testing.T) {
	t.Run("upstreams live", func(t *testing.T) {
		withHarness(t, func(b *harness) {
			for range 5 {
				before := len(b.sent())
				b.submit("/read/1")
				for at := before; at < len(b.sent()); at++ {
					b.sent()[at].Lost(continuation.LossReset, "EOF", true)
					b.advance(0)
				}
				assert.Equal(t, len(b.sent())-before, 2)
				b.advance(5 * time.Second)
			}
		})
	})
	t.Run("all upstreams fail", func(t *testing.T) {
		withHarness(t, func(b *harness) {
			for range 5 {
				for _, row := range b.upstreams.Serving("desk") {
					b.upstreams.RecordFailure(row.Upstream.ID, time.Now(), time.Now())
				}
				_, runs := b.submitAndCrash()
				assert.Assert(t, runs > 0)
			}
			rows := b.suspects.Snapshot(time.Now())
			assert.Equal(t, len(rows.Deaths), 0)
			for _, d := range rows.Disputes {
				counted, _ := b.suspects.CountDeaths(d.Fingerprint, time.Now())
				assert.Equal(t, counted, 0)
			}
			assert.Assert(t, !slices.Contains(b.crashBroadcasts(), true), "disputed crashes were sent to all instances")
		})
	})
}

// Guards against a harmless request that stays refused: an answer, or the first
// event of a stream, shows that the request does not crash upstreams.
func TestAnAnswerClearsTheRequest(t *testing.T) {
	withHarness(t, func(b *harness) {
		for range 4 {
			_, runs := b.submitAndCrash()
			assert.Assert(t, runs > 0)
			b.advance(5 * time.Second)
			b.submit("/read/1")
			b.lastSend().Answered(Answer{Status: 500})
			b.advance(time.Second)
		}
	})
	withHarness(t, func(b *harness) {
		reply, _ := b.submit("/log/1")
		for range 2 {
			b.crashedUpstreams[b.lastSend().Upstream.ID] = true
			b.lastSend().Lost(continuation.LossReset, "EOF", true)
			b.advance(crashCheckDelay)
		}
		b.lastSend().event(1)
		b.lastSend().Lost(continuation.LossReset, "EOF", true)
		b.advance(crashCheckDelay)
		b.lastSend().event(2)
		b.lastSend().StreamEnded()
		b.advance(0)
		assert.Assert(t, reply.ended)
	})
}

// Guards against an instance that runs a request although other instances reported
// crashes that bring the count to three.
func TestCrashesReportedByOtherInstancesCount(t *testing.T) {
	withHarness(t, func(b *harness) {
		b.submitAndCrash()
		now := time.Now()
		fp := b.suspects.Snapshot(now).Deaths[0].Fingerprint
		b.suspects.Merge(suspect.Rows{Deaths: []suspect.Death{{ID: suspect.DeathID{Upstream: "other"}, Fingerprint: fp, At: now}}}, now)
		reply, runs := b.submitAndCrash()
		assert.Equal(t, runs, 0)
		assert.Equal(t, reply.refused.Code, CodeCrashesUpstreams)
	})
}

// crashStream submits a stream, crashes each upstream that begins to write its first
// event, and returns the number of sends.
func (b *harness) crashStream(request *Request) (*fakeReply, int) {
	before := len(b.sent())
	reply := b.submitRequest(request)
	for at := before; at < len(b.sent()); at++ {
		b.advance(time.Second) // the engine reads the prompt
		send := b.sent()[at]
		b.crashedUpstreams[send.Upstream.ID] = true
		send.StreamBegan(200, nil)
		send.Lost(continuation.LossTruncated, "stream ended within an event", true)
		b.advance(crashCheckDelay)
		b.crashedUpstreams[send.Upstream.ID] = false
		b.upstreams.Apply(upstream.Report{
			Upstream: send.Upstream.ID, Incarnation: uint64(len(b.sent())), Health: upstream.HealthUp, At: time.Now().Add(time.Second),
		})
	}
	return reply, len(b.sent()) - before
}

// Guards against a stream that crashes upstreams inside its first event, where the
// connection ends without a reset: such crashes were not looked for.
func TestStreamThatEndsUpstreamsInItsFirstEventIsStopped(t *testing.T) {
	withHarness(t, func(b *harness) {
		_, runs := b.crashStream(b.request("/log/1"))
		assert.Equal(t, runs, crashRefuseCount)
		reply, runs := b.crashStream(b.request("/log/1"))
		assert.Equal(t, runs, 0)
		assert.Equal(t, reply.refused.Code, CodeCrashesUpstreams)
	})
}

// Guards against crashes that are not counted because of earlier crashes which the
// same requests caused: with few upstreams those are soon more than a fifth.
func TestCrashesInSuccessionDoNotHideEachOther(t *testing.T) {
	withHarness(t, func(b *harness) {
		b.upstreams.RecordFailure("engine-b1", time.Now(), time.Now())
		b.upstreams.RecordFailure("engine-c1", time.Now(), time.Now())
		_, runs := b.crashStream(b.request("/log/1"))
		assert.Equal(t, runs, crashRefuseCount)
	})
}

// withParts returns a new request whose prompt has the parts and a last part of its own.
func (b *harness) withParts(parts ...string) *Request {
	request := b.request("/log/1")
	request.Body = []byte(request.ID)
	for _, id := range append(parts, "last-"+string(request.ID)) {
		request.Work.Parts = append(request.Work.Parts, PromptPart{ID: id, Tokens: 100})
	}
	return request
}

// serveStream submits a stream and reports whether it was sent and ended.
func (b *harness) serveStream(request *Request) bool {
	before := len(b.sent())
	reply := b.submitRequest(request)
	if len(b.sent()) == before {
		return false
	}
	b.advance(time.Second)
	b.lastSend().StreamBegan(200, nil)
	b.lastSend().event(request.LastPosition + 1)
	b.lastSend().StreamEnded()
	b.advance(0)
	return reply.ended
}

// Guards against requests that differ, but crash upstreams one after the other because
// their prompts have one part in common.
func TestPartThatEndsUpstreamsIsRefused(t *testing.T) {
	withHarness(t, func(b *harness) {
		runs := 0
		for range 10 {
			_, more := b.crashStream(b.withParts("first-"+string(rune('a'+runs)), "deadly"))
			runs += more
			b.advance(time.Second)
		}
		assert.Assert(t, runs <= 5, "%d upstreams ended", runs)
		reply := b.submitRequest(b.withParts("other", "deadly"))
		assert.Equal(t, reply.refused.Code, CodeCrashesUpstreams)
		assert.Equal(t, reply.refused.Outcome, model.OutcomeNotRun)
		assert.Assert(t, b.crashBroadcasts()[len(b.crashBroadcasts())-1], "the crashes were not sent to all instances")
	})
}

// Guards against refusals of sound requests that share all parts but one with requests
// that crash upstreams.
func TestSoundRequestsBesideAPartThatEndsUpstreamsAreServed(t *testing.T) {
	withHarness(t, func(b *harness) {
		for range 5 {
			b.crashStream(b.withParts("shared", "deadly"))
			b.advance(time.Second)
		}
		assert.Assert(t, b.serveStream(b.withParts("shared", "other")))
		assert.Assert(t, b.serveStream(b.withParts("shared")))
		reply := b.submitRequest(b.withParts("shared", "deadly"))
		assert.Equal(t, reply.refused.Code, CodeCrashesUpstreams)
	})
}

// Guards against a popular part that is refused because upstreams crashed now and then
// while they ran it.
func TestPartOnWhichUpstreamsWriteIsNotRefused(t *testing.T) {
	withHarness(t, func(b *harness) {
		for range 6 {
			request := b.withParts("popular")
			reply := b.submitRequest(request)
			b.advance(time.Second)
			b.crashedUpstreams[b.lastSend().Upstream.ID] = true
			b.lastSend().Lost(continuation.LossReset, "EOF", true)
			b.advance(crashCheckDelay)
			clear(b.crashedUpstreams)
			b.lastSend().event(1)
			b.lastSend().StreamEnded()
			b.advance(5 * time.Second)
			assert.Assert(t, reply.ended)
		}
	})
}

// Guards against a request that waits for an engine while its part is found to crash
// upstreams, and is then sent.
func TestWaitingRequestIsRefusedOnceItsPartCrashedUpstreams(t *testing.T) {
	withHarness(t, func(b *harness) {
		for _, row := range b.upstreams.Serving("engine") {
			b.upstreams.Apply(upstream.Report{Upstream: row.Upstream.ID, Incarnation: 1, Health: upstream.HealthDown, At: time.Now()})
		}
		reply := b.submitRequest(b.withParts("deadly"))
		now := time.Now()
		for n := range uint64(crashRefuseCount + 1) {
			b.suspects.Merge(suspect.Rows{Deaths: []suspect.Death{{
				ID:          suspect.DeathID{Upstream: "other", Incarnation: n},
				Fingerprint: suspicion.PartFingerprint("engine", "deadly"), At: now,
			}}}, now)
		}
		for _, row := range b.upstreams.Serving("engine") {
			b.upstreams.Apply(upstream.Report{Upstream: row.Upstream.ID, Incarnation: 2, Health: upstream.HealthUp, At: time.Now()})
		}
		b.advance(time.Second)
		assert.Equal(t, len(b.sent()), 0)
		assert.Equal(t, reply.refused.Code, CodeCrashesUpstreams)
	})
}

// Guards against a flood of messages to all instances when an outage ends upstreams under
// many requests, and against a crash that other cells never learn of.
func TestSingleCrashGoesToAllInstancesOnlyIfItIsNotCleared(t *testing.T) {
	for _, cleared := range []bool{true, false} {
		withHarness(t, func(b *harness) {
			b.submitRequest(b.withParts("first"))
			b.crashedUpstreams[b.lastSend().Upstream.ID] = true
			b.lastSend().Lost(continuation.LossReset, "EOF", true)
			b.advance(crashCheckDelay)
			assert.DeepEqual(t, b.crashBroadcasts(), []bool{false})
			if cleared {
				b.lastSend().StreamBegan(200, nil)
				b.lastSend().event(1)
				b.lastSend().StreamEnded()
			}
			b.advance(crashBroadcastDelay)
			widely := slices.Contains(b.crashBroadcasts(), true)
			assert.Equal(t, widely, !cleared)
		})
	}
}

// crashCopies submits copies of a call at once, and crashes each upstream that gets one. It
// returns the number of sends. Afterwards the upstreams start again.
func (b *harness) crashCopies(copies int) int {
	before := len(b.sent())
	for range copies {
		b.submit("/read/1")
	}
	for at := before; at < len(b.sent()); at++ {
		send := b.sent()[at]
		b.crashedUpstreams[send.Upstream.ID] = true
		send.Lost(continuation.LossReset, "EOF", true)
		b.advance(0)
	}
	b.advance(crashCheckDelay + time.Second)
	clear(b.crashedUpstreams)
	for _, send := range b.sent()[before:] {
		b.upstreams.Apply(upstream.Report{Upstream: send.Upstream.ID, Incarnation: uint64(len(b.sent())), Health: upstream.HealthUp, At: time.Now().Add(time.Second)})
	}
	return len(b.sent()) - before
}

// Guards against a request whose copies, sent at once, crash so many upstreams that each
// crash is taken for a part of an outage: the request was never refused.
func TestCopiesThatEndUpstreamsAtOnceAreRefused(t *testing.T) {
	for _, copies := range []int{2, 4} {
		withHarness(t, func(b *harness) {
			assert.Assert(t, b.crashCopies(copies) >= crashRefuseCount)
			later := 0
			for range 60 {
				b.advance(5 * time.Second)
				later += b.crashCopies(copies)
			}
			assert.Assert(t, later <= 3, "%d runs after the third crash", later)
		})
	}
}

// Guards against crashes of copies that run at other instances and are taken for an outage
// here: each instance knows of the others only that upstreams failed.
func TestCopiesAtOtherInstancesExplainFailures(t *testing.T) {
	withHarness(t, func(b *harness) {
		others := []model.UpstreamID{"desk-b0", "desk-b1", "desk-c0", "desk-c1"}
		for _, id := range others {
			b.upstreams.RecordFailure(id, time.Now(), time.Now())
		}
		b.submitAndCrash()
		own := b.suspects.Snapshot(time.Now()).Disputes
		assert.Assert(t, len(own) > 0)
		for _, id := range others {
			d := own[0]
			d.ID = suspect.DeathID{Upstream: id}
			b.suspects.Merge(suspect.Rows{Disputes: []suspect.Dispute{d}}, time.Now())
		}
		b.otherRunsTrials = true
		b.advance(time.Second)
		reply, runs := b.submitAndCrash()
		assert.Equal(t, runs, 0)
		assert.Equal(t, reply.refused.Code, CodeCrashesUpstreams)
	})
}

// Guards against a popular request that stays refused after an outage of all upstreams that
// ran it: one instance tries it, and the answer clears it.
func TestPopularRequestIsServedAfterAnOutage(t *testing.T) {
	withHarness(t, func(b *harness) {
		b.crashCopies(4)
		reply, _ := b.submit("/read/1")
		second, runs := b.submitAndCrash()
		assert.Equal(t, runs, 0, "only one trial at a time")
		assert.Equal(t, second.refused.Code, CodeCrashesUpstreams)
		b.lastSend().Answered(Answer{Status: 200})
		b.advance(0)
		assert.Equal(t, reply.answer.Status, 200)
		third, _ := b.submit("/read/1")
		b.lastSend().Answered(Answer{Status: 200})
		b.advance(0)
		assert.Equal(t, third.answer.Status, 200)
	})
}
