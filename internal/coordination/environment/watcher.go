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
	// defaultInterval between two reads of the head row. With jitter and two
	// reads of at most readTimeout in all, a document is in force in 6 s.
	defaultInterval = 2500 * time.Millisecond
	readTimeout     = 2 * time.Second
	jitter          = 0.2
	// maxBodyWait is what the 6 s leave after the longest interval (3 s), the
	// reads (2 s) and the view to the entry process (0.2 s).
	maxBodyWait = 800 * time.Millisecond
	// firstReaders is the mean number of instances that read a new body without a
	// wait. One of them reads the head within 80 ms on average. Waits drawn evenly
	// from 0 to maxBodyWait made 640 instances read 9% of the bodies, not 1%.
	firstReaders = 32
	// outageInterval is the longest interval while the store fails. 640
	// instances then send 64 reads/s to a store that recovers, and the first
	// that succeeds tells the others by gossip.
	outageInterval = 10 * time.Second
)

// Options configure a Watcher.
type Options struct {
	Environment string
	Rows        store.Rows[Head]
	Objects     store.Objects
	Table       *document.Table
	Pool        *worker.Pool
	// Parse decodes and checks a source and sets the hash of the document. It
	// runs outside the workers, because a large source takes milliseconds.
	Parse func(source []byte) (*model.Document, error)
	// Applied is called on a worker after a document came into force. It may
	// be nil.
	Applied  func(*model.Document)
	Interval time.Duration // zero means 2.5 s
	// Instances returns the number of live instances, see BodyWait. Nil means
	// that there is no wait.
	Instances func() int
}

// BodyWait is the time for which one of so many instances waits, after it found
// a newer head, before it reads the body. A few instances, by a draw from
// [0, 1), do not wait. Gossip brings the document from them to the others, which
// then need not read and parse it.
func BodyWait(instances int, draw float64) time.Duration {
	if draw*float64(instances) < firstReaders {
		return 0
	}
	return maxBodyWait
}

// Watcher keeps the document table up to date from the store and from peers.
// Its fields but source are used only by items of its key.
type Watcher struct {
	opts     Options
	key      worker.Key
	pause    *backoff.ExponentialBackOff // nil while the store answers
	refused  Head                        // last head whose body is invalid
	started  bool
	stopped  bool
	inFlight bool
	timer    *worker.Timer
	source   atomic.Pointer[sourceCopy]
}

// sourceCopy is the source of the document in force. It never changes.
type sourceCopy struct {
	generation uint64
	text       []byte
}

// reading is what one read of the store found. doc is nil when the head is not
// newer than the document in force, and when its body is invalid.
type reading struct {
	head    Head
	doc     *model.Document
	source  []byte
	invalid error
}

// NewWatcher returns a watcher that is not started.
func NewWatcher(opts Options) *Watcher {
	if opts.Interval == 0 {
		opts.Interval = defaultInterval
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

// Stop ends the reads. Documents of peers are still taken.
func (w *Watcher) Stop() {
	w.post(func() {
		w.stopped = true
		w.timer.Stop()
	})
}

// Learn takes a document from a peer if it is newer than the one in force and
// of this environment. Generation and Hash of doc are set; source may be nil when the peer sent
// only the decoded document, and then cannot be served to others.
func (w *Watcher) Learn(doc *model.Document, source []byte) {
	w.post(func() {
		if doc.Environment != w.opts.Environment {
			w.log().WithField("other", doc.Environment).Warn("peer sent a document of another environment")
			return
		}
		w.apply(doc, source)
	})
}

// LearnSource decodes the source of a peer's document and takes it if it is
// newer than the one in force.
func (w *Watcher) LearnSource(generation uint64, source []byte) {
	w.post(func() {
		if generation <= w.generation() {
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

// Source returns the source of the document in force if it has the generation.
// The source must not be changed.
func (w *Watcher) Source(generation uint64) ([]byte, bool) {
	kept := w.source.Load()
	if kept == nil || kept.generation != generation {
		return nil, false
	}
	return kept.text, true
}

func (w *Watcher) post(run func()) {
	w.opts.Pool.Post(w.key, worker.Func(run))
}

func (w *Watcher) log() log.Interface {
	return log.WithField("part", "environment").WithField("environment", w.opts.Environment)
}

// generation returns the generation in force, 0 without a document.
func (w *Watcher) generation() uint64 {
	if doc := w.opts.Table.Current(); doc != nil {
		return doc.Generation
	}
	return 0
}

// poll starts one read of the store. Without a document there is no time to
// wait for peers.
func (w *Watcher) poll() {
	if w.stopped || w.inFlight {
		return
	}
	w.inFlight = true
	if w.opts.Instances == nil || w.generation() == 0 {
		w.fetch(readTimeout)
		return
	}
	w.peek(BodyWait(w.opts.Instances(), rand.Float64()))
}

// peek reads the head row. The body of a newer head is read after the wait,
// unless a peer brings the document first.
func (w *Watcher) peek(wait time.Duration) {
	began := time.Now()
	read := func(ctx context.Context) (Head, error) {
		found, err := readHead(ctx, w.opts.Rows, w.opts.Environment)
		return found.head, trace.Wrap(err, "head row")
	}
	worker.Call(w.opts.Pool, w.key, readTimeout, read, func(head Head, err error) {
		w.noteOutage(err)
		if err != nil || w.stopped || !newer(head, w.generation(), w.refused) {
			w.polled(0)
			return
		}
		left := readTimeout - time.Since(began)
		w.timer = w.opts.Pool.After(wait, w.key, worker.Func(func() {
			if newer(head, w.generation(), w.refused) {
				w.fetch(left)
				return
			}
			w.polled(wait)
		}))
	})
}

// fetch reads the head row, and the body if it is newer.
func (w *Watcher) fetch(timeout time.Duration) {
	current, refused := w.generation(), w.refused
	read := func(ctx context.Context) (reading, error) { return w.read(ctx, current, refused) }
	worker.Call(w.opts.Pool, w.key, timeout, read, func(found reading, err error) {
		w.take(found, err)
		w.polled(0)
	})
}

// polled sets the timer of the next read. age is the time since the head row
// was read.
func (w *Watcher) polled(age time.Duration) {
	w.inFlight = false
	if w.stopped {
		return
	}
	w.timer = w.opts.Pool.After(max(w.nextDelay()-age, 0), w.key, worker.Func(w.poll))
}

// newer reports whether a head names a document to take: it is above the
// generation in force and was not refused before.
func newer(head Head, current uint64, refused Head) bool {
	return head.Generation > current && (head.Generation != refused.Generation || head.Hash != refused.Hash)
}

// nextDelay spreads the reads of the instances, and backs off during an outage.
func (w *Watcher) nextDelay() time.Duration {
	if w.pause != nil {
		return w.pause.NextBackOff()
	}
	factor := 1 + jitter*(2*rand.Float64()-1)
	return time.Duration(factor * float64(w.opts.Interval))
}

// read reads the head row, and the body if it is newer than the generation in
// force and was not refused before. It runs outside the workers.
func (w *Watcher) read(ctx context.Context, current uint64, refused Head) (reading, error) {
	found, err := readHead(ctx, w.opts.Rows, w.opts.Environment)
	if err != nil {
		return reading{}, trace.Wrap(err, "head row")
	}
	head := found.head
	if !newer(head, current, refused) {
		return reading{head: head}, nil
	}
	source, err := w.opts.Objects.GetObject(ctx, BodyKey(head.Hash))
	if err != nil {
		return reading{head: head}, trace.Wrap(err, "body of generation %d", head.Generation)
	}
	doc, err := w.parse(head.Generation, source)
	if err == nil && doc.Hash != head.Hash {
		return reading{head: head}, trace.Errorf("body has hash %s, the head names %s", doc.Hash, head.Hash)
	}
	return reading{head: head, doc: doc, source: source, invalid: err}, nil
}

// parse decodes a source and completes the document.
func (w *Watcher) parse(generation uint64, source []byte) (*model.Document, error) {
	doc, err := w.opts.Parse(source)
	if err != nil {
		return nil, err
	}
	doc.Generation = generation
	doc.Environment = w.opts.Environment
	return doc, nil
}

// take handles the result of a read.
func (w *Watcher) take(found reading, err error) {
	w.noteOutage(err)
	switch {
	case err != nil:
	case found.invalid != nil:
		// A document is checked before it is accepted, so this is a newer
		// format than this process knows. The one in force stays.
		w.refused = found.head
		w.log().WithField("generation", found.head.Generation).WithError(found.invalid).Error("document in force is invalid")
	case found.doc != nil:
		w.apply(found.doc, found.source)
	}
}

// noteOutage starts and ends the back-off, and logs both once.
func (w *Watcher) noteOutage(err error) {
	switch {
	case err != nil && w.pause == nil:
		w.log().WithError(err).Warn("store does not answer")
		w.pause = backoff.NewExponentialBackOff()
		w.pause.InitialInterval = w.opts.Interval
		w.pause.MaxInterval = outageInterval
		w.pause.RandomizationFactor = jitter
	case err == nil && w.pause != nil:
		w.log().Info("store answers again")
		w.pause = nil
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
	if w.opts.Applied != nil {
		w.opts.Applied(doc)
	}
}
