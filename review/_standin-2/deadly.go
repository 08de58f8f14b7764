package main

import (
	"fmt"
	"sync"
	"time"
)

func init() {
	cases["deadly-stream"] = deadlyStream
}

// modelConfig is a config with a route for streams that may be resumed.
func modelConfig(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"run-log","host":%q,"prefix":"/log/","kind":"streaming","timeoutMs":25000,"targetLatencyMs":4500,"priority":1,"service":"log-writers","maxAttempts":5,"public":false,"sticky":true,"resumable":true,"targetGapMs":700}],"services":[{"name":"log-writers","healthPath":"/healthz","maxConnections":720,"protocol":"h1","tls":false,"runtime":{"slots":64,"kvCapacity":55000,"kvBytes":163840,"linkMbps":550000.0,"migrations":true,"replicas":true,"stepSize":6,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleTtlS":4.0,"modelList":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"huka270","apiKeys":[%q],"priority":1}]}`,
		version, host, key)
}

const (
	deadlyBody = "the reel that no worker survives"
	// restartTime is how long a crashed worker is away: "the worker is back after some
	// seconds".
	restartTime = 4 * time.Second
)

// deadlyStream plays the rule BUDGET. A request crashes each worker that runs it, 100 ms after
// the worker has begun.
func deadlyStream(l *Lab) (broken []string) {
	l.StartStore(modelConfig(1))
	models := newModels()
	var mu sync.Mutex
	var crashes []time.Time
	model := Model{CrashAfter: 100 * time.Millisecond}
	if l.trouble {
		model.CrashOn = deadlyBody
	}
	starts := 0
	var start func(address, zone string)
	start = func(address, zone string) {
		mu.Lock()
		starts++
		id := fmt.Sprintf("i-log%d", starts)
		mu.Unlock()
		l.StartModel(models, address, id, "log-writers", zone, model)
	}
	ending := make(chan struct{})
	model.Crashed = func(w *Worker, _ string) {
		mu.Lock()
		crashes = append(crashes, time.Now())
		mu.Unlock()
		go func() {
			select {
			case <-time.After(restartTime):
				l.store.Remove("servers", w.ID) // its entry has lapsed
				start(w.Address, w.Zone)
			case <-ending:
			}
		}()
	}
	for i := range 18 {
		start("127.0.0.1:0", zones[i%len(zones)])
	}
	l.StartEdges(3)
	time.Sleep(contactTime + time.Second)
	var consumers sync.WaitGroup
	var others []streamResult
	stop := make(chan struct{})
	consumers.Add(1)
	go func() { // other consumers, 3 streams a second
		defer consumers.Done()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(333 * time.Millisecond):
			}
			consumers.Add(1)
			go func() {
				defer consumers.Done()
				id := fmt.Sprintf("sound%03d", i)
				got := readStream(l.edges[i%3].Callers, "/log/x", id, "reel "+id, 0, 25*time.Second)
				l.Note("request %s ends: %+v", id, got)
				mu.Lock()
				others = append(others, got)
				mu.Unlock()
			}()
		}
	}()
	for i, end := 0, time.Now().Add(25*time.Second); time.Now().Before(end); i++ {
		id := fmt.Sprintf("deadly%d", i)
		l.Note("request %s, POST /log/x, is sent to %s", id, l.edges[i%3].Callers)
		got := readStream(l.edges[i%3].Callers, "/log/x", id, deadlyBody, 0, 25*time.Second)
		l.Note("request %s ends: %+v", id, got)
		time.Sleep(time.Second)
	}
	close(stop)
	consumers.Wait()
	close(ending)
	mu.Lock()
	defer mu.Unlock()
	whole := 0
	for _, o := range others {
		if o.Whole && o.Last == eventsOfStream {
			whole++
		}
	}
	l.Note("%d crashes of workers; %d of %d streams of the other consumers arrived whole", len(crashes), whole, len(others))
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
