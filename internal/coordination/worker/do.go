package worker

import (
	"context"
	"errors"
)

// ErrClosed means that the pool closed before the item ran.
var ErrClosed = errors.New("worker pool is closed")

// Do runs f as an item of the key and waits for its result. Network goroutines
// call it to get a result from a worker; an item must not call it, because it
// blocks. When ctx ends first, f may still run later.
func Do[T any](ctx context.Context, p *Pool, key Key, f func() T) (T, error) {
	result := make(chan T, 1)
	p.Post(key, Func(func() { result <- f() }))
	var zero T
	select {
	case value := <-result:
		return value, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-p.done:
		return zero, ErrClosed
	}
}
