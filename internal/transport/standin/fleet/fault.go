package fleet

import (
	"fmt"
	"net/http"
)

// StreamFault breaks off the stream of one request and then answers its resumed streams
// without continuing them.
type StreamFault struct {
	BreakAfter    int            // position after which the first worker breaks off
	ResumeAnswers []ResumeAnswer // to the resumed streams, in order, at whichever worker
}

// ResumeAnswer is an answer to a resumed stream that does not continue it.
type ResumeAnswer struct {
	Status int
	Type   string // of the content
	Body   string
	// NoLength makes the end of the connection the end of the answer, as it is when a
	// worker crashes after the head.
	NoLength bool
}

// FailStream injects a fault into the stream of a request.
func (f *Fleet) FailStream(request string, fault StreamFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.streamFaults[request] = fault
}

// ResumeAnswersLeft returns the number of the fault's answers that were not sent yet.
func (f *Fleet) ResumeAnswersLeft(request string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.streamFaults[request].ResumeAnswers)
}

// breakAfter returns the position after which the first worker breaks off the stream of
// a request; 0 means that it does not.
func (f *Fleet) breakAfter(request string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.streamFaults[request].BreakAfter
}

// takeResumeAnswer removes and returns the next answer to a resumed stream of a request.
func (f *Fleet) takeResumeAnswer(request string) (ResumeAnswer, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fault := f.streamFaults[request]
	if len(fault.ResumeAnswers) == 0 {
		return ResumeAnswer{}, false
	}
	next := fault.ResumeAnswers[0]
	fault.ResumeAnswers = fault.ResumeAnswers[1:]
	f.streamFaults[request] = fault
	return next, true
}

// answerResume sends an answer that does not continue a resumed stream.
func (w *Worker) answerResume(rw http.ResponseWriter, answer ResumeAnswer) {
	w.sign(rw)
	rw.Header().Set("Content-Type", answer.Type)
	if !answer.NoLength {
		rw.WriteHeader(answer.Status)
		_, _ = fmt.Fprint(rw, answer.Body) // the caller notices a truncated answer
		return
	}
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nConnection: close\r\n", answer.Status, http.StatusText(answer.Status))
	for name := range rw.Header() {
		head += name + ": " + rw.Header().Get(name) + "\r\n"
	}
	_, _ = fmt.Fprint(conn, head+"\r\n"+answer.Body) // the caller notices a truncated answer
	_ = conn.Close()
}
