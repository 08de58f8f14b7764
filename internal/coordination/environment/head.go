// Package environment accepts environment documents and spreads the one in
// force.
//
// A document is accepted once its body is in the object store and the head
// row of its environment names it. The head row changes only by
// compare-and-set, and each change raises the generation by one.
package environment

import (
	"slices"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/store"
)

// maxRecent bounds the changes that a head keeps. At 5,900 changes a day, 16
// changes span about 4 minutes; a promotion whose answer was lost is resolved
// within seconds. A full list has about 3 KB, which each instance reads every
// 2.5 s.
const maxRecent = 16

// Change is one accepted promotion. The hash tells a repeat of a promotion
// from another one that was given the same ID by mistake.
type Change struct {
	ID         string
	Hash       string
	Generation uint64
}

// Head is the row that says which document is in force.
type Head struct {
	Generation uint64
	Hash       string // hex SHA-256 of the source; key of the body
	ChangeID   string // of the promotion that made this head
	PromotedBy string
	At         time.Time
	// Recent holds the last changes, this one included, with the newest last.
	// Their generations follow one another without gaps.
	Recent []Change
}

// HeadKey returns the key of an environment's head row.
func HeadKey(environment string) string {
	return "environments/" + environment + "/head"
}

// BodyKey returns the object key of a document's source.
func BodyKey(hash string) string {
	return "documents/" + hash
}

// next returns the head that follows h by the promotion.
func (h Head) next(p Promotion) Head {
	change := Change{ID: p.ChangeID, Hash: p.Hash, Generation: h.Generation + 1}
	recent := append(slices.Clone(h.Recent), change)
	return p.head(change.Generation, recent[max(0, len(recent)-maxRecent):])
}

// head returns the head that the promotion makes at the generation.
func (p Promotion) head(generation uint64, recent []Change) Head {
	return Head{
		Generation: generation,
		Hash:       p.Hash,
		ChangeID:   p.ChangeID,
		PromotedBy: p.PromotedBy,
		At:         p.At,
		Recent:     recent,
	}
}

// verdict is what a head tells of a promotion.
type verdict int

const (
	verdictPending   verdict = iota // the generation seen is still in force
	verdictAccepted                 // the promotion took effect
	verdictConflict                 // another promotion took the generation
	verdictForgotten                // the recent changes no longer reach back
)

// accepted returns the generation that the promotion made, if the recent
// changes show it.
func (h Head) accepted(p Promotion) (uint64, bool) {
	for _, change := range h.Recent {
		if change.ID == p.ChangeID && change.Hash == p.Hash {
			return change.Generation, true
		}
	}
	return 0, false
}

// judge tells whether the promotion took effect. If it did, it made the
// generation that follows the one seen.
func (h Head) judge(p Promotion) verdict {
	if _, ok := h.accepted(p); ok {
		return verdictAccepted
	}
	if h.Generation == p.Seen {
		return verdictPending
	}
	if h.Generation < p.Seen || h.reachesBackTo(p.Seen+1) {
		return verdictConflict
	}
	return verdictForgotten
}

// reachesBackTo reports whether the recent changes hold the generation.
func (h Head) reachesBackTo(generation uint64) bool {
	return len(h.Recent) > 0 && h.Recent[0].Generation <= generation
}

// row is a head with the revision under which it was read. The revision is
// store.NoRow for an environment without a document.
type row struct {
	head     Head
	revision store.Revision
}
