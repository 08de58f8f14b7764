package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() {
	cases["fraction"] = fraction
}

const recoveryTime = 12 * time.Second // recoveryS

// fraction plays the rule RECOVER. The settings files change while the processes run: a figure
// of contractParams becomes a fraction. Then all processes are killed and started again.
func fraction(l *Lab) (broken []string) {
	l.StartStore(config(1, []string{"workshop-desk"}, route("slot-booking", "/booking/", "non_idempotent", "workshop-desk", 3)))
	for i, zone := range zones {
		l.StartWorker(fmt.Sprintf("i-desk%d", i+1), "workshop-desk", zone, 6, 60*time.Millisecond)
	}
	l.StartEdges(3)
	consumers := l.StartConsumers(http.MethodPost, "/booking/", 17, 1500*time.Millisecond)
	time.Sleep(contactTime + time.Second)
	if l.trouble {
		l.retryAllowance = 239.4
		for _, e := range l.edges {
			e.writeSettings(false)
		}
		l.Note("retryAllowance in the settings files changes from 300 to 239.4")
	}
	time.Sleep(contactTime)
	killed := time.Now()
	for _, e := range l.edges {
		e.Signal(syscall.SIGKILL)
	}
	time.Sleep(time.Second)
	back := time.Now()
	for _, e := range l.edges {
		e.Start()
	}
	stop := make(chan struct{})
	for _, e := range l.edges {
		go e.KeepRunning(stop)
	}
	time.Sleep(recoveryTime + 5*time.Second)
	close(stop)
	before, after := share{}, share{}
	for _, s := range consumers.Stop() {
		switch {
		case s.At.Before(killed.Add(-100 * time.Millisecond)):
			before.count(s)
		case s.At.After(back.Add(recoveryTime)):
			after.count(s)
		}
	}
	l.Note("served before the kill: %d of %d; later than recoveryS after the machines are back: %d of %d", before.served, before.all, after.served, after.all)
	if before.served*4 >= before.all && after.served*4 < after.all {
		broken = append(broken, fmt.Sprintf("RECOVER: %d of %d requests that were sent later than recoveryS after the machines are back are served, and %d of %d before the kill", after.served, after.all, before.served, before.all))
	}
	return broken
}

type share struct{ served, all int }

func (s *share) count(x *Sent) {
	s.all++
	if x.Status == http.StatusOK && x.Signed {
		s.served++
	}
}

// KeepRunning starts the process again when it has ended, as the platform does.
func (e *Edge) KeepRunning(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-e.ended:
			e.lab.Note("%s has ended by itself", e.Name)
			select {
			case <-stop:
				return
			case <-time.After(time.Second):
				e.Start()
			}
		}
	}
}
