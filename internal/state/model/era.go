package model

// Era counts the restores of the platform's store from older copies, from 1 on. 0 means that
// the store has no eras, or that an earlier build sent a message or wrote a row.
type Era uint64

// Number returns the era as the store counts it, which may begin with 0.
func (e Era) Number() uint64 { return uint64(max(e, 1)) - 1 }

// EraOf returns the era that the store counts so.
func EraOf(number uint64) Era { return Era(number) + 1 }
