package forwardwire

import (
	"net/http"
	"strconv"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/forward"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/hop"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// EncodeSend returns the header with which a request is sent to an upstream.
func (n Names) EncodeSend(s forward.Send, now time.Time) http.Header {
	out := http.Header(s.Request.Header).Clone()
	if out == nil {
		out = http.Header{}
	}
	setNonEmpty(out, n.Request, string(s.Request.ID))
	setNonEmpty(out, n.ExpectedUpstream, string(s.Upstream.ID))
	setNonEmpty(out, n.Organisation, string(s.Organisation))
	if !s.Deadline.IsZero() {
		setNonEmpty(out, n.TimeLeft, strconv.FormatInt(max(s.Deadline.Sub(now).Milliseconds(), 0), 10))
	}
	if s.LastPosition > 0 {
		setNonEmpty(out, n.LastEvent, strconv.FormatUint(uint64(s.LastPosition), 10))
	}
	setNonEmpty(out, n.CopyTo, s.CopyTo)
	if s.ResumeFrom != nil {
		setNonEmpty(out, n.CopyFrom, s.ResumeFrom.Address+"/"+s.ResumeFrom.ID)
	}
	if _, given := out["User-Agent"]; !given {
		out["User-Agent"] = []string{""} // otherwise net/http adds its own
	}
	return out
}

// Expect sets the field that names the only upstream that may run the request.
func (n Names) Expect(out http.Header, id model.UpstreamID) {
	setNonEmpty(out, n.ExpectedUpstream, string(id))
}

func setNonEmpty(out http.Header, name, value string) {
	if name != "" && value != "" {
		out.Set(name, value)
	}
}

// Verdict is what an upstream's answer says about the request that was sent.
type Verdict struct {
	Own       bool // the answer belongs to this request, not to another one
	NotRun    bool // the upstream did not run the request
	Elsewhere bool // another upstream has the address now
	Leaving   bool // the upstream that answered takes no new requests
	// Answering is the upstream at the address, empty if the answer does not name it.
	Answering model.UpstreamID
}

// Judge derives a Verdict from an answer's status and header. id is the ID of the
// request that was sent. A refusal may lack the ID.
func (n Names) Judge(id model.RequestID, status int, in http.Header) Verdict {
	echoed := in.Get(n.Request)
	notRun := in.Get(n.NotRun) != "" || status == http.StatusMisdirectedRequest
	return Verdict{
		Own:       echoed == string(id) || (echoed == "" && notRun),
		NotRun:    notRun,
		Elsewhere: status == http.StatusMisdirectedRequest,
		Leaving:   isSet(in, n.Leaving),
		Answering: model.UpstreamID(in.Get(n.Answering)),
	}
}

// isSet reports whether a header field that stands for yes or no says yes.
func isSet(in http.Header, name string) bool {
	value := in.Get(name)
	return value != "" && value != "0"
}

// Answered returns the header fields of an upstream's answer that are passed on to
// the caller.
func (n Names) Answered(in http.Header) forward.Header {
	out := hop.EndToEnd(in)
	out.Del(n.NotRun)
	return out
}
