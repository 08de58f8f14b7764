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

// step is the next action of an at-most-once call.
type step int

const (
	stepSend   step = iota // this call holds the claim: send it
	stepWrite              // write the claim, replacing the given revision
	stepRead               // read the row back
	stepAnswer             // another claim holds the row: answer and stop
	stepGiveUp             // the claims table does not answer: refuse
)

// decision is a step with its parameters.
type decision struct {
	step     step
	expected store.Revision // for stepWrite
	revision store.Revision // for stepSend: the row's revision
	result   call.Result    // for stepAnswer
}

// afterWrite returns the step after the write of a claim. uncertain reports that
// the write may have taken effect or may still do so.
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

// afterRead returns the step after the row was read back. The call may be sent
// only if the row has the nonce of its own claim.
func afterRead(row store.Row[Claim], err error, nonce, bodyHash string) decision {
	switch {
	case errors.Is(err, store.ErrNotFound):
		return decision{step: stepWrite, expected: store.NoRow}
	case err != nil:
		return decision{step: stepRead}
	case row.Value.Nonce == nonce:
		return decision{step: stepSend, revision: row.Revision}
	case row.Value.BodyHash != bodyHash:
		return answerWith(call.Result{Refusal: refuseKeyReused()})
	case row.Value.State == ClaimNotRun:
		return decision{step: stepWrite, expected: row.Revision}
	case row.Value.State == ClaimDone:
		return answerWith(recordedResult(row.Value))
	default:
		return answerWith(call.Result{Refusal: refuseUnknown("an earlier call with this Idempotency-Key has no recorded result")})
	}
}

func answerWith(result call.Result) decision {
	return decision{step: stepAnswer, result: result}
}

// recordedResult returns the result stored in a finished claim.
func recordedResult(c Claim) call.Result {
	if c.BodyOmitted {
		return call.Result{Refusal: refuseResultNotKept(c.Status)}
	}
	return call.Result{Response: Response{Status: c.Status, Header: c.Header, Body: c.Body, Replayed: true}}
}

// settleStep returns the revision that the write of the target state replaces. It
// returns false if no write is needed: the row already has a final state, or it
// belongs to another claim, which no write of this claim can replace any more.
func settleStep(row store.Row[Claim], err error, target Claim) (store.Revision, bool) {
	switch {
	case errors.Is(err, store.ErrNotFound):
		// An insert of the claim may still be on its way to the table.
		// Inserting the final state first makes that insert fail.
		return store.NoRow, true
	case row.Value.Nonce == target.Nonce:
		return row.Revision, row.Value.State == ClaimHeld
	case row.Value.State == ClaimNotRun && target.State == ClaimNotRun:
		// Likewise, a write of the claim over this row may be on its way.
		// A new revision of the row makes that write fail.
		return row.Revision, true
	default:
		return store.NoRow, false
	}
}

// readFailed reports whether a read did not determine the state of the row.
func readFailed(err error) bool {
	return err != nil && !errors.Is(err, store.ErrNotFound)
}

// resultOfSend converts what Sender.Send returned to a result. released reports
// that the call was not sent, so that its claim is to be released.
func resultOfSend(resp Response, err error) (result call.Result, released bool) {
	if err == nil {
		return call.Result{Response: resp}, false
	}
	if wasSent(err) {
		return call.Result{Refusal: refuseUnknown("the connection was lost after the call was sent")}, false
	}
	return call.Result{Refusal: refuseUnreachable()}, true
}

// wasSent reports whether a byte of the request may have been written to a
// connection.
func wasSent(err error) bool {
	var sendErr *SendError
	if errors.As(err, &sendErr) {
		return sendErr.Sent
	}
	return true
}

// rowKey returns the key of the claim's row. The parts are escaped, so that
// different calls have different rows.
func rowKey(key call.Key) string {
	return "calls/" + url.PathEscape(string(key.Organisation)) +
		"/" + url.PathEscape(key.Service) +
		"/" + url.PathEscape(key.IdempotencyKey)
}

// bodyHash hashes method, path, query and body, which determine what the call
// does. The length of each part is hashed before it, so that no two requests give
// the same hash input.
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

// maxRecordedBytes limits the headers and the body stored in a row.
const maxRecordedBytes = 64 << 10

// claimWithResponse returns the claim as done, with the response. Headers and body
// that exceed maxRecordedBytes are left out.
func claimWithResponse(c Claim, resp Response) Claim {
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
