package forwardwire

import (
	"net/http"
	"strconv"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/forward"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/hop"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// EncodeSend returns the header of a send.
func (n Names) EncodeSend(s forward.Send, now time.Time) http.Header {
	out := http.Header(s.Request.Header).Clone()
	if out == nil {
		out = http.Header{}
	}
	set(out, n.Request, string(s.Request.ID))
	set(out, n.ExpectedUpstream, string(s.Upstream.ID))
	set(out, n.Organisation, string(s.Organisation))
	if !s.Deadline.IsZero() {
		set(out, n.TimeLeft, strconv.FormatInt(max(s.Deadline.Sub(now).Milliseconds(), 0), 10))
	}
	if s.After > 0 {
		set(out, n.LastEvent, strconv.FormatUint(uint64(s.After), 10))
	}
	set(out, n.CopyTo, s.CopyTo)
	if s.From != nil {
		set(out, n.CopyFrom, s.From.Address+"/"+s.From.ID)
	}
	if _, given := out["User-Agent"]; !given {
		out["User-Agent"] = []string{""} // net/http would send its own
	}
	return out
}

// Expect names the only upstream that may answer.
func (n Names) Expect(out http.Header, id model.UpstreamID) {
	set(out, n.ExpectedUpstream, string(id))
}

func set(out http.Header, name, value string) {
	if name != "" && value != "" {
		out.Set(name, value)
	}
}

// Verdict is what an upstream's answer says of the run.
type Verdict struct {
	Own       bool // the answer is to the send, and not to another one
	NotRun    bool
	Elsewhere bool // another upstream has the address
	// Answering is the upstream at the address, if it said so.
	Answering model.UpstreamID
}

// Judge reads an answer's status and header.
func (n Names) Judge(id model.RequestID, status int, in http.Header) Verdict {
	echoed := in.Get(n.Request)
	notRun := in.Get(n.NotRun) != "" || status == http.StatusMisdirectedRequest
	return Verdict{
		Own:       echoed == string(id) || (echoed == "" && notRun),
		NotRun:    notRun,
		Elsewhere: status == http.StatusMisdirectedRequest,
		Answering: model.UpstreamID(in.Get(n.Answering)),
	}
}

// Answered returns the fields of an upstream's answer that go to the caller.
func (n Names) Answered(in http.Header) forward.Header {
	out := hop.EndToEnd(in)
	out.Del(n.NotRun)
	return out
}
