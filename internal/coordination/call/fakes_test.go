package call

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/store"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/call"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// init fixes the seed of rapid. The command line overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

// tableFault is the behaviour of the fake claims table.
type tableFault int

const (
	tableWorks tableFault = iota
	tableDown
	tableSlow       // answers after 300 ms
	tableLost       // does not take effect, no answer
	tableAnswerLost // takes effect, no answer
	tableLate       // takes effect 1.5 s later, no answer
	tableFaults
)

// fakeTable is a claims table with faults. It implements store.Rows[Claim].
type fakeTable struct {
	mu       sync.Mutex
	fault    tableFault
	rows     map[string]store.Row[Claim]
	revision int
	late     sync.WaitGroup
}

func newFakeTable() *fakeTable { return &fakeTable{rows: map[string]store.Row[Claim]{}} }

func (f *fakeTable) setFault(fault tableFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

func (f *fakeTable) currentFault() tableFault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fault
}

func (f *fakeTable) Get(ctx context.Context, key string) (store.Row[Claim], error) {
	switch f.currentFault() {
	case tableDown:
		return store.Row[Claim]{}, store.ErrUnavailable
	case tableSlow:
		time.Sleep(300 * time.Millisecond)
	case tableLost, tableAnswerLost, tableLate:
		<-ctx.Done()
		return store.Row[Claim]{}, ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	row, ok := f.rows[key]
	if !ok {
		return row, store.ErrNotFound
	}
	return row, nil
}

func (f *fakeTable) Put(ctx context.Context, key string, value Claim, expected store.Revision) (store.Revision, error) {
	switch f.currentFault() {
	case tableDown:
		return "", store.ErrUnavailable
	case tableSlow:
		time.Sleep(300 * time.Millisecond)
	case tableLost:
		<-ctx.Done()
		return "", store.ErrUnknownOutcome
	case tableAnswerLost:
		_, _ = f.put(key, value, expected)
		return "", store.ErrUnknownOutcome
	case tableLate:
		f.late.Go(func() {
			time.Sleep(1500 * time.Millisecond)
			_, _ = f.put(key, value, expected)
		})
		return "", store.ErrUnknownOutcome
	}
	return f.put(key, value, expected)
}

func (f *fakeTable) put(key string, value Claim, expected store.Revision) (store.Revision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rows[key].Revision != expected {
		return "", store.ErrConflict
	}
	f.revision++
	revision := store.Revision(fmt.Sprint(f.revision))
	f.rows[key] = store.Row[Claim]{Key: key, Value: value, Revision: revision}
	return revision, nil
}

func (f *fakeTable) List(context.Context, string) ([]store.Row[Claim], error) {
	return nil, errors.ErrUnsupported
}

// senderFault is the behaviour of the fake sender and its upstream.
type senderFault int

const (
	upstreamWorks senderFault = iota
	upstreamSlow              // runs and answers after 400 ms
	upstreamRefuses
	upstreamDiesBefore // receives the request, does not run it
	upstreamDiesAfter  // runs the request, does not answer
	upstreamRunsLate   // runs the request after 3 s, even if the caller has given up
	senderPauses       // the process of the sender pauses for 5 s before it sends
	senderFaults
)

// fakeSender is a Sender that records the runs of each call.
type fakeSender struct {
	mu    sync.Mutex
	fault senderFault
	runs  map[string][]model.RequestID // request IDs by idempotency key
	late  sync.WaitGroup
}

func newFakeSender() *fakeSender { return &fakeSender{runs: map[string][]model.RequestID{}} }

func (f *fakeSender) setFault(fault senderFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

func (f *fakeSender) run(req Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[req.IdempotencyKey] = append(f.runs[req.IdempotencyKey], req.ID)
}

var errReset = errors.New("connection reset")

func (f *fakeSender) Send(ctx context.Context, upstream model.Upstream, req Request) (Response, error) {
	f.mu.Lock()
	fault := f.fault
	f.mu.Unlock()
	switch fault {
	case upstreamSlow:
		time.Sleep(400 * time.Millisecond)
	case upstreamRefuses:
		return Response{}, &SendError{Err: errReset}
	case upstreamDiesBefore:
		return Response{}, &SendError{Sent: true, Err: errReset}
	case upstreamDiesAfter:
		f.run(req)
		return Response{}, errReset // untyped errors count as sent
	case upstreamRunsLate:
		f.late.Go(func() {
			time.Sleep(3 * time.Second)
			f.run(req)
		})
		<-ctx.Done()
		return Response{}, &SendError{Sent: true, Err: ctx.Err()}
	case senderPauses:
		time.Sleep(5 * time.Second)
		if ctx.Err() != nil {
			return Response{}, &SendError{Err: ctx.Err()}
		}
	}
	f.run(req)
	return Response{Status: 200, Body: []byte("ran " + string(req.ID)), Upstream: upstream.ID}, nil
}

// newInstance returns a manager with its own pool and call table.
func newInstance(name model.InstanceID, claims store.Rows[Claim], sender Sender, upstreams ...model.UpstreamID) *Manager {
	return New(Options{
		Pool:     worker.NewPool(worker.Options{Workers: 2}),
		Instance: name,
		Calls:    call.NewTable(),
		Claims:   claims,
		Sender:   sender,
		Pick:     pickFirst(upstreams),
	})
}

// pickFirst returns the first upstream that was not tried.
func pickFirst(upstreams []model.UpstreamID) func(Request) (model.Upstream, bool) {
	return func(req Request) (model.Upstream, bool) {
		for _, id := range upstreams {
			if !slices.Contains(req.Tried, id) {
				return model.Upstream{ID: id}, true
			}
		}
		return model.Upstream{}, false
	}
}
