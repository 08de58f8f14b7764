package worker

import (
	"context"
	"errors"
)

// ErrClosed means that the pool closed before the item ran.
var ErrClosed = errors.New("worker pool is closed")

// Do runs f under the key and waits for its result. It is for network
// goroutines that need an answer from a worker; an item must not call it.
// When ctx ends first, f may still run later.
func Do[T any](ctx context.Context, p *Pool, key Key, f func() T) (T, error) {
	result := make(chan T, 1)
	p.Post(key, Func(func() { result <- f() }))
	var none T
	select {
	case value := <-result:
		return value, nil
	case <-ctx.Done():
		return none, ctx.Err()
	case <-p.done:
		return none, ErrClosed
	}
}
