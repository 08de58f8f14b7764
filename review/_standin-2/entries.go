package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() {
	cases["unnamed-service"] = unnamedService
	cases["missing-fields"] = missingFields
}

// unnamedService plays the rule DRAIN. Another writer overwrites the entry of a worker once
// with one whose service no config names. Seconds later the worker leaves as planned.
func unnamedService(l *Lab) (broken []string) {
	l.StartStore(config(1, []string{"workshop-desk"}, route("slot-booking", "/booking/", "non_idempotent", "workshop-desk", 3)))
	var workers []*Worker
	for i, zone := range zones {
		workers = append(workers, l.StartWorker(fmt.Sprintf("i-desk%d", i+1), "workshop-desk", zone, 6, 200*time.Millisecond))
	}
	l.StartEdges(3)
	consumers := l.StartConsumers(http.MethodPost, "/booking/", 17, 1500*time.Millisecond)
	time.Sleep(contactTime + time.Second)
	leaving := workers[0]
	if l.trouble {
		l.Put("servers", leaving.ID, map[string]any{
			"service": "reel-shelf", "address": "127.0.0.1:9", "zone": leaving.Zone, "version": "v1", "slots": 1, "state": "available",
			"coldRemainingMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
		})
		l.Note("another writer overwrites the entry of %s; its service, reel-shelf, is in no config", leaving.ID)
	}
	time.Sleep(5 * time.Second) // the worker has written its own entry four times since
	l.Note("entry of %s in the store: %s", leaving.ID, l.store.Get("servers", leaving.ID))
	acknowledged := leaving.Drain()
	time.Sleep(drainTime + 4*time.Second)
	leaving.Exit()
	l.store.Remove("servers", leaving.ID)
	time.Sleep(2 * time.Second)
	sent := consumers.Stop()
	for _, a := range leaving.Arrivals() {
		if late := a.At.Sub(acknowledged); late > drainTime {
			broken = append(broken, fmt.Sprintf("DRAIN: request %s reached worker %s %d ms after the store confirmed that it is draining", a.Request, leaving.ID, late.Milliseconds()))
		}
	}
	l.countAnswers(sent)
	return broken
}

// countAnswers notes how many requests ended in which way.
func (l *Lab) countAnswers(sent []*Sent) {
	counts := map[int]int{}
	for _, s := range sent {
		counts[s.Status]++
	}
	l.Note("%d requests; number by status, 0 for none: %v", len(sent), counts)
}

// missingFields plays the rule ROUTE. Another writer overwrites the entries of three workers
// once with such that lack four of the nine fields.
func missingFields(l *Lab) (broken []string) {
	l.StartStore(config(1, []string{"workshop-desk", "reel-archive"}, route("slot-booking", "/booking/", "non_idempotent", "workshop-desk", 3),
		route("reel-lookup", "/lookup/", "idempotent", "reel-archive", 3)))
	var archive []*Worker
	for i, zone := range zones {
		l.StartWorker(fmt.Sprintf("i-desk%d", i+1), "workshop-desk", zone, 6, 60*time.Millisecond)
		archive = append(archive, l.StartWorker(fmt.Sprintf("i-archive%d", i+1), "reel-archive", zone, 6, 60*time.Millisecond))
	}
	l.StartEdges(3)
	bookings := l.StartConsumers(http.MethodPost, "/booking/", 17, 1500*time.Millisecond)
	lookups := l.StartConsumers(http.MethodGet, "/lookup/", 8, 1500*time.Millisecond)
	time.Sleep(contactTime + time.Second)
	if l.trouble {
		for _, w := range archive {
			l.Put("servers", w.ID, map[string]any{"service": "workshop-desk", "address": w.Address, "zone": w.Zone, "slots": w.Slots, "state": "available"})
			l.Note("another writer overwrites the entry of %s; version, coldRemainingMs, sequence and born are missing", w.ID)
		}
	}
	time.Sleep(5 * time.Second)
	l.countAnswers(bookings.Stop())
	l.countAnswers(lookups.Stop())
	for _, w := range archive {
		for _, a := range w.Arrivals() {
			if a.Ran && a.Path == "/booking/x" {
				broken = append(broken, fmt.Sprintf("ROUTE: request %s of slot-booking ran at worker %s of reel-archive; no config sends it there", a.Request, w.ID))
			}
		}
	}
	return broken
}
