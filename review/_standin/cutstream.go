package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// cutStream: streams are asked for at the rate of a small deployment. Three in five model
// workers send one answer in twenty without a length; it ends with its channel. Five of the
// six model workers of a zone are killed and started again after 1.2 s, zone by zone. A
// stream that the consumer got as a complete answer must have all events, once and in order.
func cutStream(s *system, trouble bool) string {
	const (
		events    = 130
		duration  = 86 * time.Second
		perSecond = 5
	)
	zones := []string{"a", "b", "c"}
	s.store.put("op", "config", config(7, streamRoute("/lohu930/")))
	worker := func(n, life int) string { return fmt.Sprintf("i-%s%d-%d", zones[n%3], n, life) }
	start := func(n, life int) {
		unframed := 0.0
		if n%5 < 3 { // three in five workers
			unframed = 0.05
		}
		s.startWorker(worker(n, life), "-service", "log-writers", "-zone", zones[n%3], "-addr", s.at(50+n, 8080), "-events", fmt.Sprint(events), "-unframed-share", fmt.Sprint(unframed))
	}
	const workers = 18
	lives := make([]int, workers)
	for n := range workers {
		start(n, 0)
	}
	for i := range 6 {
		s.startEdge(i, zones[i%3], s.at(2, storePort), true)
	}
	s.awaitReady(workers)

	var all sync.WaitGroup
	var mu sync.Mutex
	complete, cut, refused := 0, 0, 0
	var broken []string
	begin := time.Now()
	stopTrouble := make(chan struct{})
	all.Add(1)
	go func() {
		defer all.Done()
		if !trouble {
			return
		}
		for round := 0; ; round++ {
			select {
			case <-time.After(4300 * time.Millisecond):
			case <-stopTrouble:
				return
			}
			hit := func(n int) bool { // five of the six workers of a zone
				return n%3 == round%3 && n/3 != round%6
			}
			for n := range workers {
				if hit(n) {
					s.kill(worker(n, lives[n]))
				}
			}
			time.Sleep(1200 * time.Millisecond)
			for n := range workers {
				if hit(n) {
					lives[n]++
					start(n, lives[n])
				}
			}
		}
	}()
	for k := 0; time.Since(begin) < duration; k++ {
		attempt := fmt.Sprintf("9c41d07b%08x", k)
		all.Add(1)
		go func() {
			defer all.Done()
			got := s.exchange(k%6, s.request(k%6, "POST", "/lohu930/2f", attempt, 25*time.Second, "prompt"), 26*time.Second)
			pieces := 0
			want := ""
			for n := 1; n <= events; n++ {
				want += event(attempt, n)
			}
			pieces = strings.Count(string(got.body), "id: ")
			s.say("consumer %s: status %d, %d of %d events, complete %v, signature %q, %v", attempt, got.status, pieces, events, got.complete, got.header.Get("X-Server-Signature"), got.err)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case got.status != 200:
				refused++
			case got.complete && string(got.body) != want:
				broken = append(broken, fmt.Sprintf("ORDER: request %s ended as complete after %d of %d events", attempt, pieces, events))
			case got.complete:
				complete++
			default:
				cut++
			}
		}()
		time.Sleep(time.Second / perSecond)
	}
	close(stopTrouble)
	all.Wait()
	s.say("%d streams complete and whole, %d cut, %d refused, %d ended as complete before their last event", complete, cut, refused, len(broken))
	fmt.Printf("%d streams complete and whole, %d cut, %d refused, %d ended as complete before their last event\n", complete, cut, refused, len(broken))
	if len(broken) > 0 {
		return broken[0]
	}
	if complete == 0 {
		panic(unable{"no stream was served"})
	}
	return ""
}
