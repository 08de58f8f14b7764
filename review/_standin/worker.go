package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// runWorker is one worker as a process of its own: a model worker (with -events) or a
// plain service. It registers itself in the store and writes what it runs to standard
// output, one JSON object a line.
func runWorker(args []string) {
	f := flag.NewFlagSet("worker", flag.ExitOnError)
	name := f.String("id", "", "id of this lifetime")
	service := f.String("service", "", "")
	zone := f.String("zone", "", "")
	version := f.String("version", "v1", "")
	address := f.String("addr", "", "IP:port")
	storeAt := f.String("store", "", "IP:port")
	events := f.Int("events", 0, "events of a stream; 0: plain service")
	eventMs := f.Int("event-ms", 60, "time between events")
	firstMs := f.Int("first-ms", 400, "time to the first event")
	workMs := f.Int("work-ms", 60, "work of a plain request")
	unframed := f.Float64("unframed-share", 0, "share of the answers that have no length and end with their channel")
	_ = f.Parse(args)

	w := &worker{name: *name, service: *service, events: *events, unframed: *unframed,
		eventTime: time.Duration(*eventMs) * time.Millisecond, firstTime: time.Duration(*firstMs) * time.Millisecond, workTime: time.Duration(*workMs) * time.Millisecond}
	listener, err := net.Listen("tcp", *address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	entry := map[string]any{"service": *service, "address": *address, "zone": *zone, "version": *version, "slots": 64,
		"state": "available", "coldRemainingMs": 0, "born": time.Now().UnixMilli()}
	go func() {
		for sequence := 1; ; sequence++ {
			entry["sequence"] = sequence
			body, _ := json.Marshal(entry)
			if resp, err := http.Post("http://"+*storeAt+"/standin/entry?id="+*name, "application/json", bytes.NewReader(body)); err == nil {
				_ = resp.Body.Close()
			}
			time.Sleep(heartbeat)
		}
	}()
	_ = http.Serve(listener, w)
}

type worker struct {
	name, service                  string
	events                         int
	unframed                       float64
	eventTime, firstTime, workTime time.Duration

	mu     sync.Mutex
	active int
}

// note writes one line of the record.
func (w *worker) note(fields map[string]any) {
	fields["worker"], fields["at"] = w.name, time.Now().UnixMilli()
	line, _ := json.Marshal(fields)
	_, _ = os.Stdout.Write(append(line, '\n'))
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != w.name {
		rw.Header().Set("X-Instance-Id", w.name)
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(421)
		return
	}
	attempt := r.Header.Get("X-Attempt-Id")
	switch {
	case r.URL.Path == "/healthz":
		rw.Header().Set("X-Instance-Id", w.name)
		return
	case r.URL.Path == "/v1/report" && attempt == "":
		w.mu.Lock()
		defer w.mu.Unlock()
		rw.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(rw, `{"phase":"unified","modelList":[{"name":"m","version":1,"adapterList":[]}],"busy":false,"sequence":1,"queued":0,"active":%d,"kvUsage":0,"kvLimit":55000,"handles":0}`, w.active)
		return
	case attempt == "":
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(400)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.mu.Lock()
	w.active++
	w.mu.Unlock()
	defer func() { w.mu.Lock(); w.active--; w.mu.Unlock() }()
	w.note(map[string]any{"run": attempt, "method": r.Method, "target": r.RequestURI, "host": r.Host, "tenant": r.Header.Get("X-Tenant-Name"), "body": len(body), "after": r.Header.Get("Last-Event-Id")})
	rw.Header().Set("X-Attempt-Id", attempt)
	rw.Header().Set("X-Server-Signature", "stand-in."+w.name+"."+attempt)
	if strings.HasSuffix(r.URL.Path, "/poison") { // this request crashes each worker that begins to run it
		w.note(map[string]any{"crashed": attempt})
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
		select {}
	}
	if w.events > 0 {
		w.stream(rw, r, attempt)
		return
	}
	select {
	case <-time.After(w.workTime):
	case <-r.Context().Done():
		return
	}
	w.note(map[string]any{"answered": attempt})
	_, _ = fmt.Fprintf(rw, "answer to %s of %d bytes", attempt, len(body))
}

// event is one piece of a stream; its text depends on the request and the number alone.
func event(attempt string, n int) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(attempt + "/" + strconv.Itoa(n)))
	return fmt.Sprintf("id: %d\ndata: %08x\n\n", n, h.Sum32())
}

func (w *worker) stream(rw http.ResponseWriter, r *http.Request, attempt string) {
	after, _ := strconv.Atoi(strings.TrimSpace(r.Header.Get("Last-Event-Id")))
	rw.Header().Set("Content-Type", "text/event-stream")
	send := func(text string) bool {
		_, err := io.WriteString(rw, text)
		rw.(http.Flusher).Flush()
		return err == nil
	}
	if rand.Float64() < w.unframed {
		conn, buffered, err := rw.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close() // the end of the channel is the end of the answer
		_ = buffered.Flush()
		head := "HTTP/1.1 200 OK\r\nConnection: close\r\n"
		for name, values := range rw.Header() {
			head += name + ": " + values[0] + "\r\n"
		}
		if _, err := io.WriteString(conn, head+"\r\n"); err != nil {
			return
		}
		w.note(map[string]any{"unframed": attempt})
		send = func(text string) bool { _, err := io.WriteString(conn, text); return err == nil }
	}
	time.Sleep(w.firstTime)
	for n := after + 1; n <= w.events; n++ {
		if !send(event(attempt, n)) {
			return
		}
		time.Sleep(w.eventTime)
	}
	w.note(map[string]any{"answered": attempt, "events": w.events})
}
