package peerwire

import (
	"github.com/gravitational/trace"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/view"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/suspect"
)

// Permit asks a permit issuer for the permit under which requests with a suspect fingerprint
// run one last time, see suspect.Permit.
type Permit struct {
	Fingerprint suspect.Fingerprint
	From        model.InstanceID // that asks
	Nonce       uint64           // tells apart the requests of that instance, see suspect.Holder
}

// PermitReply is the reply to a Permit.
type PermitReply struct {
	Granted bool
}

// EncodeView encodes a View.
func EncodeView(v view.View) (Message, error) { return encodeBody(KindView, v) }

// DecodeView decodes a View.
func DecodeView(m Message) (view.View, error) { return decodeBody[view.View](KindView, m) }

// ViewRequest returns the message by which an entry process opens its stream of
// views.
func ViewRequest() (Message, error) { return encodeBody(KindView, struct{}{}) }

// EncodeReport encodes a Report.
func EncodeReport(r view.Report) (Message, error) { return encodeBody(KindReport, r) }

// DecodeReport decodes a Report.
func DecodeReport(m Message) (view.Report, error) {
	return decodeBody[view.Report](KindReport, m)
}

// ReportReply returns the message that acknowledges a Report.
func ReportReply() (Message, error) { return encodeBody(KindReport, struct{}{}) }

// EncodePermit encodes a Permit.
func EncodePermit(p Permit) (Message, error) { return encodeBody(KindSuspectPermit, p) }

// DecodePermit decodes a Permit.
func DecodePermit(m Message) (Permit, error) { return decodeBody[Permit](KindSuspectPermit, m) }

// EncodePermitReply encodes a PermitReply.
func EncodePermitReply(p PermitReply) (Message, error) { return encodeBody(KindSuspectPermit, p) }

// DecodePermitReply decodes a PermitReply.
func DecodePermitReply(m Message) (PermitReply, error) {
	return decodeBody[PermitReply](KindSuspectPermit, m)
}

// EncodeSuspects encodes the rows about requests that crash upstreams.
func EncodeSuspects(rows suspect.Rows) (Message, error) { return encodeBody(KindSuspects, rows) }

// DecodeSuspects decodes the rows about requests that crash upstreams.
func DecodeSuspects(m Message) (suspect.Rows, error) {
	return decodeBody[suspect.Rows](KindSuspects, m)
}

// checkPosition returns an error for a negative position, which would make a slice
// expression panic.
func checkPosition(name string, position int) error {
	if position < 0 {
		return trace.BadParameter("%s is %d, must not be negative", name, position)
	}
	return nil
}
