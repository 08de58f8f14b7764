//go:build !lockcheck

package lock

func acquire(Rank) {}

func release(Rank) {}
