package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() {
	cases["clock-back"] = clockBack
}

// clockBack plays the rule DRAIN. A worker starts while the time of day of its machine is
// ahead, the time of day jumps back, and the worker crashes and starts again under its ID.
func clockBack(l *Lab) (broken []string) {
	const ahead, away = 2400 * time.Millisecond, 1200 * time.Millisecond
	l.StartStore(config(1, []string{"workshop-desk"}, route("slot-booking", "/booking/", "non_idempotent", "workshop-desk", 3)))
	for i, zone := range zones[:2] {
		l.StartWorker(fmt.Sprintf("i-desk%d", i+2), "workshop-desk", zone, 6, 200*time.Millisecond)
	}
	l.StartEdges(3)
	consumers := l.StartConsumers(http.MethodPost, "/booking/", 17, 1500*time.Millisecond)
	time.Sleep(contactTime + time.Second)
	born := time.Now()
	if l.trouble {
		l.Note("the time of day at the machine of i-desk1 is %s ahead", ahead)
		born = born.Add(ahead)
	}
	first := l.prepareWorker("127.0.0.1:0", "i-desk1", "workshop-desk", zones[2], 6, 200*time.Millisecond, born.UnixMilli())
	first.serve()
	time.Sleep(time.Second)
	l.Note("the time of day at the machine of i-desk1 is right again; the worker crashes")
	first.Exit()
	time.Sleep(away)
	leaving := l.prepareWorker(first.Address, "i-desk1", "workshop-desk", zones[2], 6, 200*time.Millisecond, time.Now().UnixMilli())
	leaving.serve()
	time.Sleep(4 * time.Second)
	acknowledged := leaving.Drain()
	time.Sleep(drainTime + 4*time.Second)
	leaving.Exit()
	l.store.Remove("servers", leaving.ID)
	time.Sleep(2 * time.Second)
	l.countAnswers(consumers.Stop())
	for _, a := range leaving.Arrivals() {
		if late := a.At.Sub(acknowledged); late > drainTime {
			broken = append(broken, fmt.Sprintf("DRAIN: request %s reached worker %s %d ms after the store confirmed that it is draining", a.Request, leaving.ID, late.Milliseconds()))
		}
	}
	return broken
}
