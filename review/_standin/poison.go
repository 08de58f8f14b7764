package main

import (
	"fmt"
	"sync"
	"time"
)

// poison: a lookup crashes each worker that begins to run it and comes again each 6 s. The
// workers are back 3 s after a crash. Under trouble its consumer repeats it at once, three
// more times, at other instances.
func poison(s *system, trouble bool) string {
	const (
		edges    = 6
		workers  = 3
		duration = 70 * time.Second
		contact  = 3 * time.Second
		pause    = 6 * time.Second
	)
	zones := []string{"a", "b", "c"}
	s.store.put("op", "config", config(7, callRoute("r-book", "/book/", "non_idempotent"), callRoute("r-look", "/look/", "idempotent")))
	stopped := make(chan struct{})
	start := func(n, life int) *process {
		name := fmt.Sprintf("i-desk%d-%d", n, life)
		s.startWorker(name, "-service", "workshop-desk", "-zone", zones[n], "-addr", s.at(50+n, 8080))
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.workers[name]
	}
	for n := range workers {
		p := start(n, 0)
		go func() {
			for life := 1; ; life++ {
				select {
				case <-p.done:
				case <-stopped:
					return
				}
				select {
				case <-time.After(3 * time.Second):
				case <-stopped:
					return
				}
				p = start(n, life)
			}
		}()
	}
	for i := range edges {
		s.startEdge(i, zones[i%3], s.at(2, storePort), true)
	}
	s.awaitReady(0)

	var all sync.WaitGroup
	var mu sync.Mutex
	status := map[int]int{}
	begin := time.Now()
	send := func(edge int, method, path, attempt string, count bool) {
		all.Add(1)
		go func() {
			defer all.Done()
			got := s.exchange(edge, s.request(edge, method, path, attempt, 1500*time.Millisecond, ""), 2*time.Second)
			s.say("consumer %s: %s %s to instance %d: status %d, Retry-After %q, %v", attempt, method, path, edge, got.status, got.header.Get("Retry-After"), got.err)
			if count {
				mu.Lock()
				status[got.status]++
				mu.Unlock()
			}
		}()
	}
	nextPoison := begin.Add(2 * time.Second)
	for k := 0; time.Since(begin) < duration; k++ {
		if time.Now().After(nextPoison) {
			nextPoison = nextPoison.Add(pause)
			copies := 1
			if trouble {
				copies = 4
			}
			for c := range copies {
				send((k+c)%edges, "GET", "/look/poison", fmt.Sprintf("bad0%03d%d", k, c), false)
			}
		}
		method, path := "POST", "/book/1"
		if k%3 == 2 {
			method, path = "GET", "/look/1"
		}
		send(k%edges, method, path, fmt.Sprintf("50a0%012x", k), true)
		time.Sleep(40 * time.Millisecond)
	}
	all.Wait()
	close(stopped)
	time.Sleep(300 * time.Millisecond)

	crashes := s.heard("crashed")
	s.say("%d crashes; other requests by status: %v", len(crashes), status)
	fmt.Printf("%d crashes of workers; other requests by status: %v\n", len(crashes), status)
	if len(crashes) < 3 {
		panic(unable{"the request did not crash three workers"})
	}
	third := time.UnixMilli(int64(crashes[2]["at"].(float64)))
	late := map[string]bool{}
	for _, c := range crashes[3:] {
		if time.UnixMilli(int64(c["at"].(float64))).Sub(third) > contact {
			late[c["crashed"].(string)] = true
		}
	}
	s.say("%d attempts of the request reached workers later than %s after the third crash", len(late), contact)
	if len(late) > 3 {
		return fmt.Sprintf("BUDGET: %d attempts of a request that crashes workers reached workers later than %s after it had crashed the third; three may", len(late), contact)
	}
	return ""
}
