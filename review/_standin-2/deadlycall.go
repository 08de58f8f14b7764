package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["deadly-call"] = deadlyCall
}

// deadlyCall plays the rule BUDGET. A request crashes each worker that runs it, and comes
// again each two seconds. All processes of the system are killed once, long after the third
// crash.
func deadlyCall(l *Lab) (broken []string) {
	l.StartStore(config(1, []string{"workshop-desk"}, route("reel-lookup", "/lookup/", "idempotent", "workshop-desk", 1)))
	var mu sync.Mutex
	var crashes []time.Time
	starts := 0
	ending := make(chan struct{})
	var start func(address, zone string)
	start = func(address, zone string) {
		mu.Lock()
		starts++
		id := fmt.Sprintf("i-desk%d", starts)
		mu.Unlock()
		w := l.prepareWorker(address, id, "workshop-desk", zone, 6, 60*time.Millisecond, time.Now().UnixMilli())
		w.Crashes = func(path string) bool { return path == "/lookup/deadly" }
		w.Crashed = func() {
			mu.Lock()
			crashes = append(crashes, time.Now())
			mu.Unlock()
			go func() {
				select {
				case <-time.After(restartTime):
					l.store.Remove("servers", id)
					start(w.Address, zone)
				case <-ending:
				}
			}()
		}
		w.serve()
	}
	for _, zone := range zones {
		start("127.0.0.1:0", zone)
		start("127.0.0.1:0", zone)
	}
	l.StartEdges(3)
	lookups := l.StartConsumers(http.MethodGet, "/lookup/", 8, 1500*time.Millisecond)
	time.Sleep(contactTime + time.Second)
	killed := time.Now().Add(20 * time.Second)
	isKilled := false
	for i, end := 0, time.Now().Add(75*time.Second); time.Now().Before(end); i++ {
		if l.trouble && !isKilled && time.Now().After(killed) {
			isKilled = true
			for _, e := range l.edges {
				e.Signal(syscall.SIGKILL)
			}
			time.Sleep(1200 * time.Millisecond)
			for _, e := range l.edges {
				e.Start()
			}
			for _, e := range l.edges {
				e.AwaitReady()
			}
			time.Sleep(contactTime + 500*time.Millisecond)
		}
		id := fmt.Sprintf("deadly%d", i)
		at := l.edges[i%3].Callers
		l.Note("request %s, GET /lookup/deadly, is sent to %s", id, at)
		status, _, body := request(at, http.MethodGet, "/lookup/deadly", id, key, 1500*time.Millisecond)
		l.Note("request %s is answered: status %d, %q", id, status, body)
		time.Sleep(2 * time.Second)
	}
	close(ending)
	l.countAnswers(lookups.Stop())
	mu.Lock()
	defer mu.Unlock()
	if len(crashes) < 3 {
		return nil
	}
	late := len(l.runsAfter(crashes[2].Add(contactTime), "deadly"))
	l.Note("%d crashes of workers; %d times the request reached a worker later than contactMs after the third", len(crashes), late)
	if late > 3 {
		broken = append(broken, fmt.Sprintf("BUDGET: a request crashed %d workers; %d times it reached one later than contactMs after it had crashed the third", len(crashes), late))
	}
	return broken
}
