package main

import (
	"fmt"
	"time"
)

// doubleSlash: a route's prefix is "/". A consumer asks for paths that begin with two
// slashes, or with one where there is no trouble. A worker must run the path that was sent.
func doubleSlash(s *system, trouble bool) string {
	s.store.put("op", "config", config(7, callRoute("r-call", "/", "non_idempotent"), callRoute("r-look", "/reels/", "idempotent")))
	for n := range 3 {
		s.startWorker(fmt.Sprintf("i-desk%d", n), "-service", "workshop-desk", "-zone", string(rune('a'+n)), "-addr", s.at(50+n, 8080))
	}
	for i := range 3 {
		s.startEdge(i, string(rune('a'+i)), s.at(2, storePort), true)
	}
	s.awaitReady(0)
	sent := map[string]string{}
	served := 0
	for k := range 60 {
		attempt := fmt.Sprintf("7ab0%012x", k)
		target := fmt.Sprintf("/ovens/%d?slot=%d", k, k)
		if trouble && k%10 == 0 {
			target = "/" + target
		}
		sent[attempt] = target
		got := s.exchange(k%3, s.request(k%3, "POST", target, attempt, 1500*time.Millisecond, "booking"), 2*time.Second)
		if got.status == 200 {
			served++
		}
		s.say("consumer %s: POST %s to instance %d: status %d, %q, %v", attempt, target, k%3, got.status, got.body, got.err)
	}
	time.Sleep(300 * time.Millisecond)
	broken := ""
	for _, run := range s.heard("run") {
		attempt := run["run"].(string)
		if run["target"] != sent[attempt] {
			s.say("worker %s ran %s as %v, the consumer sent %s", run["worker"], attempt, run["target"], sent[attempt])
			broken = fmt.Sprintf("UNASKED: request %s was sent with the target %s and ran with %v", attempt, sent[attempt], run["target"])
		}
	}
	if served == 0 {
		panic(unable{"nothing was served"})
	}
	return broken
}
