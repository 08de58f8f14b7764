package call

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"net/url"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/store"
	"github.com/sequoiavalve/sequoiavalve/internal/state/call"
)

// step is what a claim does next.
type step int

const (
	stepSend   step = iota // the claim is ours: send the call
	stepWrite              // write the claim over the given revision
	stepRead               // read the row back
	stepAnswer             // another claim decides: answer and stop
	stepGiveUp             // the table gives no answer: refuse
)

// decision is a step with what it needs.
type decision struct {
	step     step
	expected store.Revision // for stepWrite
	revision store.Revision // for stepSend: the row's revision
	result   call.Result    // for stepAnswer
}

// afterWrite decides on the answer to a claim's write. uncertain reports that
// the write may have taken effect or may do so later.
func afterWrite(revision store.Revision, err error) (d decision, uncertain bool) {
	switch {
	case err == nil:
		return decision{step: stepSend, revision: revision}, false
	case errors.Is(err, store.ErrUnavailable):
		return decision{step: stepGiveUp}, false
	case errors.Is(err, store.ErrConflict):
		return decision{step: stepRead}, false
	default:
		return decision{step: stepRead}, true
	}
}

// afterRead decides on the row as read back. Only a row with the claim's own
// nonce allows to send.
func afterRead(row store.Keyed[Claim], err error, nonce, bodyHash string) decision {
	switch {
	case errors.Is(err, store.ErrNotFound):
		return decision{step: stepWrite, expected: store.NoRow}
	case err != nil:
		return decision{step: stepRead}
	case row.Value.Nonce == nonce:
		return decision{step: stepSend, revision: row.Revision}
	case row.Value.BodyHash != bodyHash:
		return answer(call.Result{Refusal: refuseKeyReused()})
	case row.Value.State == ClaimNotRun:
		return decision{step: stepWrite, expected: row.Revision}
	case row.Value.State == ClaimDone:
		return answer(recorded(row.Value))
	default:
		return answer(call.Result{Refusal: unknown("an earlier call with this Idempotency-Key has no recorded result")})
	}
}

func answer(result call.Result) decision {
	return decision{step: stepAnswer, result: result}
}

// recorded returns the result that a finished claim holds.
func recorded(c Claim) call.Result {
	if c.BodyOmitted {
		return call.Result{Refusal: refuseResultNotKept(c.Status)}
	}
	return call.Result{Response: Response{Status: c.Status, Header: c.Header, Body: c.Body, Replayed: true}}
}

// settleStep decides how to bring the row to the target state. It returns
// false when nothing is left to do: the row has the state, or belongs to
// another claim, which a write of ours can no longer replace.
func settleStep(row store.Keyed[Claim], err error, target Claim) (store.Revision, bool) {
	switch {
	case errors.Is(err, store.ErrNotFound):
		// An insert that is still on its way would land later. Inserting the
		// final state first makes it fail.
		return store.NoRow, true
	case row.Value.Nonce == target.Nonce:
		return row.Revision, row.Value.State == ClaimHeld
	case row.Value.State == ClaimNotRun && target.State == ClaimNotRun:
		// The same for a write over this row: a new revision makes it fail.
		return row.Revision, true
	default:
		return store.NoRow, false
	}
}

// readFailed reports whether a read gave no answer about the row.
func readFailed(err error) bool {
	return err != nil && !errors.Is(err, store.ErrNotFound)
}

// outcomeOf converts a sender's result. released reports that the call was
// not sent.
func outcomeOf(resp Response, err error) (result call.Result, released bool) {
	if err == nil {
		return call.Result{Response: resp}, false
	}
	if wasSent(err) {
		return call.Result{Refusal: unknown("the connection was lost after the call was sent")}, false
	}
	return call.Result{Refusal: refuseUnreachable()}, true
}

// wasSent reports whether a byte may have been handed to a connection.
func wasSent(err error) bool {
	var sendErr *SendError
	if errors.As(err, &sendErr) {
		return sendErr.Sent
	}
	return true
}

// rowKey returns the claim's key in the table. The parts are escaped, so that
// no two calls share a row.
func rowKey(key call.Key) string {
	return "calls/" + url.PathEscape(string(key.Organisation)) +
		"/" + url.PathEscape(key.Service) +
		"/" + url.PathEscape(key.IdempotencyKey)
}

// bodyHash identifies what the call does. Each part is preceded by its
// length, so that no two requests have the same input.
func bodyHash(req Request) string {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(req.Method), []byte(req.Path), []byte(req.Query), req.Body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write(part)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// maxRecordedBytes bounds the headers and body kept in a row.
const maxRecordedBytes = 64 << 10

// finish returns the claim with the response, without its body and headers
// when they are too large.
func finish(c Claim, resp Response) Claim {
	c.State = ClaimDone
	c.Status = resp.Status
	size := len(resp.Body)
	for name, values := range resp.Header {
		size += len(name)
		for _, v := range values {
			size += len(v)
		}
	}
	if size > maxRecordedBytes {
		c.BodyOmitted = true
		return c
	}
	c.Header = resp.Header
	c.Body = resp.Body
	return c
}

func keyOf(req Request) call.Key {
	return call.Key{Organisation: req.Organisation, Service: req.Service, IdempotencyKey: req.IdempotencyKey}
}
