package peerwire

import (
	"github.com/gravitational/trace"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/gossip"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
)

// View is what a control process sends to its entry process, on one stream.
// The first message holds everything; a later one holds what changed, and a
// nil field means no change.
type View struct {
	Document      *model.Document
	Shares        []model.Share
	Stops         []model.Stop
	Upstreams     []upstream.Report
	Leaves        []gossip.Leave
	Instances     []model.Instance
	SilentRegions *[]string // regions that are left out of endpoint answers
	Deaths        []gossip.Death
	Clears        []gossip.Clear
}

// Report is what an entry process sends to its control process.
type Report struct {
	Evidence []gossip.EvidenceRow // whole rows; counts only grow
	Stops    []model.Stop
	Leaves   []gossip.Leave
	Marks    []Mark
	Deaths   []gossip.Death
	Clears   []gossip.Clear
	Draining bool // the instance leaves
}

// Mark is a connection failure on an upstream.
type Mark struct {
	Upstream model.UpstreamID
	Failures int
}

// Permit asks for the last run of a fingerprint.
type Permit struct {
	Fingerprint uint64
	Request     model.RequestID
	From        model.InstanceID
}

// PermitReply answers a Permit.
type PermitReply struct {
	Granted bool
}

// EncodeView encodes a View.
func EncodeView(v View) (Message, error) { return encodeBody(KindView, v) }

// DecodeView decodes a View.
func DecodeView(m Message) (View, error) { return decodeBody[View](KindView, m) }

// ViewRequest opens the stream of views.
func ViewRequest() (Message, error) { return encodeBody(KindView, struct{}{}) }

// EncodeReport encodes a Report.
func EncodeReport(r Report) (Message, error) { return encodeBody(KindReport, r) }

// DecodeReport decodes a Report.
func DecodeReport(m Message) (Report, error) { return decodeBody[Report](KindReport, m) }

// ReportReply acknowledges a Report.
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

// checkPosition refuses a negative position, which would break slicing.
func checkPosition(name string, position int) error {
	if position < 0 {
		return trace.BadParameter("%s is %d, must not be negative", name, position)
	}
	return nil
}
