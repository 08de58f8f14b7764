package fleet

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// stream sends the events after the position in Last-Event-Id.
func (w *Worker) stream(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if after > 0 {
		if answer, ok := w.fleet.takeResumeAnswer(id); ok {
			w.answerResume(rw, answer)
			return
		}
	}
	copied := false
	if from := r.Header.Get("Kv-From"); from != "" {
		_, name, _ := strings.Cut(from, "/")
		if !w.takeKVCopy(name) {
			rw.Header().Set("X-Not-Executed", "1")
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		copied = true
	}
	prompt := r.Header.Get("X-Prompt-Prefix")
	read := !copied && w.needsPrefill(prompt)
	if read && !w.prefill(r) {
		return
	}
	defer w.recordRun(Run{Request: id, Tenant: r.Header.Get("X-Tenant-Name"), ResumedAfter: after, FromKVCopy: copied, Prefilled: read, PromptPrefix: prompt, Key: r.Header.Get("Authorization")})()
	if w.opts.CrashOnPart != "" && hasPart(prompt, w.opts.CrashOnPart) {
		w.crashInEvent(rw, id)
		return
	}
	w.sign(rw)
	rw.Header().Set("Content-Type", "text/event-stream")
	w.generate(rw, r, id, after)
}

// hasPart reports whether a prompt, given as ID:TOKENS entries, has a part.
func hasPart(prompt, part string) bool {
	for entry := range strings.SplitSeq(prompt, ",") {
		if id, _, _ := strings.Cut(entry, ":"); id == part {
			return true
		}
	}
	return false
}

// crashInEvent answers without a length, ends the connection within the first event
// and crashes.
func (w *Worker) crashInEvent(rw http.ResponseWriter, id string) {
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nContent-Type: text/event-stream\r\n\r\nid: 1\nda", id) // the caller notices a truncated answer
	_ = conn.Close()
	w.fleet.Crash(w)
	go w.opts.OnCrash(w)
}

func (w *Worker) generate(rw http.ResponseWriter, r *http.Request, id string, after int) {
	control := http.NewResponseController(rw)
	copyTo, copiedAt := r.Header.Get("X-Kv-Replica"), time.Now()
	breakAfter := w.fleet.breakAfter(id)
	for position := after + 1; position <= w.opts.Events; position++ {
		if after == 0 && breakAfter > 0 && position > breakAfter {
			panic(http.ErrAbortHandler)
		}
		if !pause(r, w.opts.Interval) || !w.waitSilence(r) {
			return
		}
		if _, err := io.WriteString(rw, FormatEvent(id, position)); err != nil {
			return
		}
		if err := control.Flush(); err != nil {
			return
		}
		if copyTo != "" && time.Since(copiedAt) >= w.opts.KVCopyInterval {
			copiedAt = time.Now()
			w.fleet.storeKVCopy(copyTo, id, position)
		}
	}
}

func (w *Worker) takeKVCopy(request string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, held := w.kvCopies[request]
	delete(w.kvCopies, request)
	return held
}
