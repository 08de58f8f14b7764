package forwardwire

import (
	"fmt"
	"math"
	"net/http"
	"slices"
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
	Own bool // the answer belongs to this request, not to another one
	// Invalid says why the answer must not be used, after which the request may have run;
	// empty if it may be used.
	Invalid   string
	NotRun    bool // the upstream did not run the request
	Elsewhere bool // another upstream has the address now
	Leaving   bool // the upstream that answered takes no new requests
	// Pause is the time for which the upstream that answered wants no requests.
	Pause time.Duration
	// BadPause is a malformed value of the field for Pause; empty if there is none.
	BadPause string
	// Answering is the upstream at the address, empty if the answer does not name it.
	Answering model.UpstreamID
}

// Judge derives a Verdict from an answer's status and header. id is the ID of the
// request that was sent, and kept says that its connection has carried another request
// before.
func (n Names) Judge(id model.RequestID, kept bool, status int, in http.Header) Verdict {
	notRun := in.Get(n.NotRun) != "" || status == http.StatusMisdirectedRequest
	pause, badPause := time.Duration(0), ""
	if status == http.StatusServiceUnavailable {
		pause, badPause = n.pause(in)
	}
	return Verdict{
		Pause:     pause,
		BadPause:  badPause,
		Own:       isOwn(id, kept, notRun, in.Values(n.Request)),
		Invalid:   invalidity(status, notRun),
		NotRun:    notRun,
		Elsewhere: status == http.StatusMisdirectedRequest,
		Leaving:   isSet(in, n.Leaving),
		Answering: model.UpstreamID(in.Get(n.Answering)),
	}
}

// isOwn reports whether an answer that echoes the given IDs belongs to the request. A
// refusal may lack the ID. On a kept connection it may then be one of an earlier request,
// which a faulty upstream has sent again.
func isOwn(id model.RequestID, kept, notRun bool, echoed []string) bool {
	if len(echoed) == 0 {
		return !kept && (notRun || id == "")
	}
	return !slices.ContainsFunc(echoed, func(e string) bool { return e != string(id) })
}

// invalidity returns why an answer with the status must not be used; empty if it may be.
func invalidity(status int, notRun bool) string {
	switch {
	case status < http.StatusOK || status > maxStatus:
		return fmt.Sprintf("status %d is not that of an answer", status)
	case notRun && status < http.StatusBadRequest:
		return fmt.Sprintf("status %d of a request that has not run", status)
	case !notRun && promisesNotRun(status):
		return fmt.Sprintf("status %d without the mark that the request has not run", status)
	}
	return ""
}

const maxStatus = 599

// promisesNotRun reports whether callers take the status as a promise that the request has
// not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// maxPause bounds the pause that an upstream can ask for. A longer one is most likely an
// error, and would take the upstream away from this instance for good.
const maxPause = 10 * time.Minute

// pause returns the pause that an answer asks for, or the value that cannot be decoded.
func (n Names) pause(in http.Header) (pause time.Duration, malformed string) {
	text := in.Get(n.Pause)
	if text == "" {
		return 0, ""
	}
	seconds, err := strconv.ParseFloat(text, 64)
	switch {
	case err != nil && !math.IsInf(seconds, 1), math.IsNaN(seconds), seconds < 0:
		return 0, text
	case seconds > maxPause.Seconds():
		return maxPause, text
	}
	return time.Duration(seconds * float64(time.Second)), ""
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
