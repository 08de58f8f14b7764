package environment

import (
	"context"
	"fmt"
	"strconv"
	"sync"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/store"
)

// fault is the fault injected into one request to the fake store.
type fault int

const (
	faultNone    fault = iota
	faultRefused       // no effect, and the error says so
	faultLost          // takes effect, the answer is lost
	faultDropped       // no effect, the outcome is unknown to the caller
	faultDelayed       // takes effect after later requests, the outcome is unknown to the caller
	faultKinds
)

const (
	faultsOfReads   = int(faultRefused) + 1
	faultsOfObjects = int(faultDropped) + 1
)

// fakeStore is a table with one row, and an object store. Each request gets its
// fault from nextFault. Requests for the row first call beforeRequest, which may
// run a concurrent promotion.
type fakeStore struct {
	mu            sync.Mutex
	head          Head
	revision      int
	history       []Head // all heads that were in force
	objects       map[string][]byte
	delayed       []func()
	nextFault     func(kinds int) fault
	beforeRequest func()
}

func newFakeStore() *fakeStore {
	return &fakeStore{objects: map[string][]byte{}, nextFault: func(int) fault { return faultNone }, beforeRequest: func() {}}
}

func (s *fakeStore) currentRevision() store.Revision {
	if s.revision == 0 {
		return store.NoRow
	}
	return store.Revision(strconv.Itoa(s.revision))
}

func (s *fakeStore) Get(context.Context, string) (store.Row[Head], error) {
	s.beforeRequest()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nextFault(faultsOfReads) != faultNone {
		return store.Row[Head]{}, store.ErrUnavailable
	}
	if s.revision == 0 {
		return store.Row[Head]{}, store.ErrNotFound
	}
	return store.Row[Head]{Value: s.head, Revision: s.currentRevision()}, nil
}

func (s *fakeStore) List(context.Context, string) ([]store.Row[Head], error) { return nil, nil }

func (s *fakeStore) Put(_ context.Context, _ string, head Head, expected store.Revision) (store.Revision, error) {
	s.beforeRequest()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.nextFault(int(faultKinds)) {
	case faultRefused:
		return "", store.ErrUnavailable
	case faultLost:
		_ = s.write(head, expected)
		return "", store.ErrUnknownOutcome
	case faultDropped:
		return "", store.ErrUnknownOutcome
	case faultDelayed:
		s.delayed = append(s.delayed, func() { _ = s.write(head, expected) })
		return "", store.ErrUnknownOutcome
	}
	return s.currentRevision(), s.write(head, expected)
}

func (s *fakeStore) write(head Head, expected store.Revision) error {
	if s.currentRevision() != expected {
		return store.ErrConflict
	}
	if _, ok := s.objects[BodyKey(head.Hash)]; !ok {
		panic(fmt.Sprintf("head %d is written before its body", head.Generation))
	}
	s.head = head
	s.revision++
	s.history = append(s.history, head)
	return nil
}

// applyDelayed carries out the delayed writes.
func (s *fakeStore) applyDelayed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, write := range s.delayed {
		write()
	}
	s.delayed = nil
}

func (s *fakeStore) GetObject(_ context.Context, key string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nextFault(faultsOfReads) != faultNone {
		return nil, store.ErrUnavailable
	}
	body, ok := s.objects[key]
	if !ok {
		return nil, store.ErrNotFound
	}
	return body, nil
}

func (s *fakeStore) PutObject(_ context.Context, key string, body []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.nextFault(faultsOfObjects) {
	case faultRefused:
		return store.ErrUnavailable
	case faultDropped:
		return store.ErrUnknownOutcome
	case faultLost:
		s.objects[key] = body
		return store.ErrUnknownOutcome
	}
	s.objects[key] = body
	return nil
}
