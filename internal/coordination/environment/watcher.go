package environment

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cenkalti/backoff/v5"
	"github.com/gravitational/trace"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/store"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/document"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

const (
	// defaultPollInterval is the interval between two reads of the head row. With
	// the jitter, two reads that take at most readTimeout in total and the wait
	// before the body, a document comes into force within 6 s.
	defaultPollInterval = 2500 * time.Millisecond
	readTimeout         = 2 * time.Second
	pollJitter          = 0.2
	// maxBodyWait is the part of the 6 s that is left after the longest interval
	// (3 s), the reads (2 s) and the view update of the entry process (0.2 s).
	maxBodyWait = 800 * time.Millisecond
	// immediateReaders is the mean number of instances that read a new body without
	// a wait. The first of them reads the head after 80 ms on average. With waits
	// drawn uniformly from 0 to maxBodyWait instead, 9% of 640 instances read each
	// body, not 1%.
	immediateReaders = 32
	// maxOutageInterval is the longest interval between reads while the store
	// fails. At 10 s, 640 instances send 64 reads/s to a recovering store, and
	// the first instance that succeeds passes the document on by gossip.
	maxOutageInterval = 10 * time.Second
)

// Options configure a Watcher.
type Options struct {
	Environment string
	Rows        store.Rows[Head]
	Objects     store.Objects
	Table       *document.Table
	Pool        *worker.Pool
	// Parse decodes and validates a source and sets the hash of the document.
	// It runs outside the workers, because parsing a large source takes
	// milliseconds.
	Parse func(source []byte) (*model.Document, error)
	// OnApplied is called on a worker after a document came into force. It may
	// be nil.
	OnApplied    func(*model.Document)
	PollInterval time.Duration // between reads of the head row; zero means 2.5 s
	// Instances returns the number of live instances, from which BodyWait
	// computes the wait. If Instances is nil, bodies are read without a wait.
	Instances func() int
}

// BodyWait returns how long an instance waits between finding a newer head and
// reading the body. instances is the number of live instances, draw a random
// number from [0, 1). A few instances do not wait. The others receive the
// document from them by gossip during the wait and need not read and parse the
// body.
func BodyWait(instances int, draw float64) time.Duration {
	if draw*float64(instances) < immediateReaders {
		return 0
	}
	return maxBodyWait
}

// Watcher keeps the document table up to date from the store and from peers.
// All fields except source are used only by items of key.
type Watcher struct {
	opts          Options
	key           worker.Key
	outageBackoff *backoff.ExponentialBackOff // nil while reads of the store succeed
	invalidHead   Head                        // last head whose body is invalid
	started       bool
	stopped       bool
	pollInFlight  bool
	timer         *worker.Timer
	source        atomic.Pointer[sourceCopy]
}

// sourceCopy is the source of the document in force. It is immutable.
type sourceCopy struct {
	generation uint64
	text       []byte
}

// readResult is the result of one read of the store. doc is nil when the head is
// not newer than the document in force, and when the body is invalid. parseErr
// is set only when the body is invalid.
type readResult struct {
	head     Head
	doc      *model.Document
	source   []byte
	parseErr error
}

// NewWatcher returns a watcher that is not started.
func NewWatcher(opts Options) *Watcher {
	if opts.PollInterval == 0 {
		opts.PollInterval = defaultPollInterval
	}
	return &Watcher{opts: opts, key: worker.Key("environment/" + opts.Environment)}
}

// Start reads the head row at once and then at each interval.
func (w *Watcher) Start() {
	w.post(func() {
		if !w.started {
			w.started = true
			w.poll()
		}
	})
}

// Stop ends the reads of the store. Documents from peers are still applied.
func (w *Watcher) Stop() {
	w.post(func() {
		w.stopped = true
		w.timer.Stop()
	})
}

// ApplyFromPeer applies a document from a peer if it belongs to this environment and is
// newer than the document in force. The caller sets Generation and Hash of doc.
// source is nil when the peer sent only the decoded document; Source then has no
// source to return for this generation.
func (w *Watcher) ApplyFromPeer(doc *model.Document, source []byte) {
	w.post(func() {
		if doc.Environment != w.opts.Environment {
			w.log().WithField("other", doc.Environment).Warn("peer sent a document of another environment")
			return
		}
		w.apply(doc, source)
	})
}

// ApplySourceFromPeer parses the source of a document from a peer and applies the
// document if it is newer than the one in force.
func (w *Watcher) ApplySourceFromPeer(generation uint64, source []byte) {
	w.post(func() {
		if generation <= w.currentGeneration() {
			return
		}
		parse := func(context.Context) (*model.Document, error) { return w.parse(generation, source) }
		worker.Call(w.opts.Pool, w.key, readTimeout, parse, func(doc *model.Document, err error) {
			if err != nil {
				w.log().WithError(err).Warn("peer sent an invalid document")
				return
			}
			w.apply(doc, source)
		})
	})
}

// Source returns the source of the document in force, and false if that document
// has another generation. The source must not be changed.
func (w *Watcher) Source(generation uint64) ([]byte, bool) {
	stored := w.source.Load()
	if stored == nil || stored.generation != generation {
		return nil, false
	}
	return stored.text, true
}

func (w *Watcher) post(run func()) {
	w.opts.Pool.Post(w.key, worker.Func(run))
}

func (w *Watcher) log() log.Interface {
	return log.WithField("part", "environment").WithField("environment", w.opts.Environment)
}

// currentGeneration returns the generation in force, 0 without a document.
func (w *Watcher) currentGeneration() uint64 {
	if doc := w.opts.Table.Current(); doc != nil {
		return doc.Generation
	}
	return 0
}

// poll starts one read of the store. An instance that has no document yet reads
// the body at once, without a wait for peers.
func (w *Watcher) poll() {
	if w.stopped || w.pollInFlight {
		return
	}
	w.pollInFlight = true
	if w.opts.Instances == nil || w.currentGeneration() == 0 {
		w.pollHeadAndBody(readTimeout)
		return
	}
	w.pollHeadFirst(BodyWait(w.opts.Instances(), rand.Float64()))
}

// pollHeadFirst reads the head row. If the head is newer, it reads the body after
// the wait, unless a peer has sent the document by then.
func (w *Watcher) pollHeadFirst(wait time.Duration) {
	began := time.Now()
	read := func(ctx context.Context) (Head, error) {
		result, err := readHead(ctx, w.opts.Rows, w.opts.Environment)
		return result.head, trace.Wrap(err, "head row")
	}
	worker.Call(w.opts.Pool, w.key, readTimeout, read, func(head Head, err error) {
		w.updateBackoff(err)
		if err != nil || w.stopped || !shouldFetch(head, w.currentGeneration(), w.invalidHead) {
			w.scheduleNextPoll(0)
			return
		}
		remaining := readTimeout - time.Since(began)
		w.timer = w.opts.Pool.After(wait, w.key, worker.Func(func() {
			if shouldFetch(head, w.currentGeneration(), w.invalidHead) {
				w.pollHeadAndBody(remaining)
				return
			}
			w.scheduleNextPoll(wait)
		}))
	})
}

// pollHeadAndBody reads the head row, and the body if the head is newer.
func (w *Watcher) pollHeadAndBody(timeout time.Duration) {
	current, invalidHead := w.currentGeneration(), w.invalidHead
	read := func(ctx context.Context) (readResult, error) { return w.readStore(ctx, current, invalidHead) }
	worker.Call(w.opts.Pool, w.key, timeout, read, func(result readResult, err error) {
		w.handleResult(result, err)
		w.scheduleNextPoll(0)
	})
}

// scheduleNextPoll sets the timer of the next read. age is the time since the
// head row was read.
func (w *Watcher) scheduleNextPoll(age time.Duration) {
	w.pollInFlight = false
	if w.stopped {
		return
	}
	w.timer = w.opts.Pool.After(max(w.nextDelay()-age, 0), w.key, worker.Func(w.poll))
}

// shouldFetch reports whether the document of a head is to be fetched: its
// generation is above the one in force, and it was not found invalid before.
func shouldFetch(head Head, current uint64, invalidHead Head) bool {
	return head.Generation > current && (head.Generation != invalidHead.Generation || head.Hash != invalidHead.Hash)
}

// nextDelay returns the delay until the next read: the interval with jitter,
// which spreads the reads of the instances, or the backoff during an outage.
func (w *Watcher) nextDelay() time.Duration {
	if w.outageBackoff != nil {
		return w.outageBackoff.NextBackOff()
	}
	factor := 1 + pollJitter*(2*rand.Float64()-1)
	return time.Duration(factor * float64(w.opts.PollInterval))
}

// readStore reads the head row, and the body if the head is newer than the
// current generation and is not the invalid head. It runs outside the workers.
func (w *Watcher) readStore(ctx context.Context, current uint64, invalidHead Head) (readResult, error) {
	result, err := readHead(ctx, w.opts.Rows, w.opts.Environment)
	if err != nil {
		return readResult{}, trace.Wrap(err, "head row")
	}
	head := result.head
	if !shouldFetch(head, current, invalidHead) {
		return readResult{head: head}, nil
	}
	source, err := w.opts.Objects.GetObject(ctx, BodyKey(head.Hash))
	if err != nil {
		return readResult{head: head}, trace.Wrap(err, "body of generation %d", head.Generation)
	}
	doc, err := w.parse(head.Generation, source)
	if err == nil && doc.Hash != head.Hash {
		return readResult{head: head}, trace.Errorf("body has hash %s, the head names %s", doc.Hash, head.Hash)
	}
	return readResult{head: head, doc: doc, source: source, parseErr: err}, nil
}

// parse decodes a source and sets the generation and the environment of the
// document.
func (w *Watcher) parse(generation uint64, source []byte) (*model.Document, error) {
	doc, err := w.opts.Parse(source)
	if err != nil {
		return nil, err
	}
	doc.Generation = generation
	doc.Environment = w.opts.Environment
	return doc, nil
}

// handleResult handles the result of a read.
func (w *Watcher) handleResult(result readResult, err error) {
	w.updateBackoff(err)
	switch {
	case err != nil:
	case result.parseErr != nil:
		// A document is validated before it is accepted, so an invalid one has
		// a newer format than this process knows. The current one stays in force.
		w.invalidHead = result.head
		w.log().WithField("generation", result.head.Generation).WithError(result.parseErr).Error("newest document is invalid")
	case result.doc != nil:
		w.apply(result.doc, result.source)
	}
}

// updateBackoff starts the backoff at the first failed read and ends it at the
// next successful one. Each of the two is logged once.
func (w *Watcher) updateBackoff(err error) {
	switch {
	case err != nil && w.outageBackoff == nil:
		w.log().WithError(err).Warn("cannot read the document from the store, backing off")
		w.outageBackoff = backoff.NewExponentialBackOff()
		w.outageBackoff.InitialInterval = w.opts.PollInterval
		w.outageBackoff.MaxInterval = maxOutageInterval
		w.outageBackoff.RandomizationFactor = pollJitter
	case err == nil && w.outageBackoff != nil:
		w.log().Info("document can be read from the store again")
		w.outageBackoff = nil
	}
}

// apply puts a newer document in force and keeps its source.
func (w *Watcher) apply(doc *model.Document, source []byte) {
	if !w.opts.Table.Apply(doc) {
		return
	}
	w.source.Store(nil)
	if source != nil {
		w.source.Store(&sourceCopy{generation: doc.Generation, text: source})
	}
	w.log().WithField("generation", doc.Generation).WithField("hash", doc.Hash).Info("document is in force")
	if w.opts.OnApplied != nil {
		w.opts.OnApplied(doc)
	}
}
