// Package envdoc decodes, checks and compares environment documents.
package envdoc

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/strictyaml"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// MaxBytes bounds the source of a document. A document with 3,500 upstreams has
// 0.7 MiB.
const MaxBytes = 4 << 20

// Faults holds all faults of a document.
type Faults = strictyaml.Faults

// Parse decodes and checks a document. Environment and Generation of the result are
// empty, because they are stored in the environment's row. A finish_by in the past
// is allowed, so that a document in force stays valid.
func Parse(src []byte) (*model.Document, Faults) {
	return parse(src, time.Time{})
}

// ParseForPromotion is Parse for a document that is to be promoted: each finish_by
// must be later than now.
func ParseForPromotion(src []byte, now time.Time) (*model.Document, Faults) {
	return parse(src, now)
}

// Decode is Parse with the faults returned as an error.
func Decode(src []byte) (*model.Document, error) {
	doc, faults := Parse(src)
	return doc, faults.Err()
}

// Hash returns the hex SHA-256 of a document's source.
func Hash(src []byte) string {
	sum := sha256.Sum256(src)
	return hex.EncodeToString(sum[:])
}

func parse(src []byte, now time.Time) (*model.Document, Faults) {
	var f file
	decoded := strictyaml.Decode(src, &f, MaxBytes)
	decoded.Validate(&f)
	c := newChecker(decoded, &f, now)
	c.check()
	if faults := decoded.Faults(); len(faults) > 0 {
		return nil, faults
	}
	return convert(&f, Hash(src)), nil
}
