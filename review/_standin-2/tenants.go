package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() {
	cases["last-tenant"] = lastTenant
}

// lastTenant plays the rules ROUTE and CONFIG. The operator takes the keys of the only tenant
// away: a new version of the config has an empty list of tenants.
func lastTenant(l *Lab) (broken []string) {
	slots := route("slot-booking", "/booking/", "non_idempotent", "workshop-desk", 3)
	l.StartStore(config(1, []string{"workshop-desk"}, slots))
	var workers []*Worker
	for i, zone := range zones {
		workers = append(workers, l.StartWorker(fmt.Sprintf("i-desk%d", i+1), "workshop-desk", zone, 6, 60*time.Millisecond))
	}
	l.StartEdges(3)
	bookings := l.StartConsumers(http.MethodPost, "/booking/", 17, 1500*time.Millisecond)
	strangers := l.StartConsumers(http.MethodPost, "/booking/stranger/", 2, 1500*time.Millisecond)
	strangers.Key("a-key-that-no-config-ever-held")
	time.Sleep(contactTime + time.Second)
	revoked := config(2, []string{"workshop-desk"}, slots)
	at := strings.Index(revoked, `"tenants":`)
	if l.trouble {
		revoked = revoked[:at] + `"tenants":[]}`
	} else {
		revoked = revoked[:at] + `"tenants":[{"name":"huka270","apiKeys":[],"priority":1}]}`
	}
	confirmed := l.Put("op", "config", revoked)
	l.NoteAt(confirmed, "the store has confirmed version 2: %s", revoked[at:])
	time.Sleep(8 * time.Second)
	all := append(bookings.Stop(), strangers.Stop()...)
	l.countAnswers(all)
	sentAt := map[string]time.Time{}
	for _, s := range all {
		sentAt[s.ID] = s.At
	}
	for _, w := range workers {
		for _, a := range w.Arrivals() {
			switch late := sentAt[a.Request].Sub(confirmed); {
			case !a.Ran:
			case strings.HasPrefix(a.Path, "/booking/stranger/"):
				broken = append(broken, fmt.Sprintf("ROUTE: request %s ran, and no config ever held its key", a.Request))
			case late > 2*time.Second:
				broken = append(broken, fmt.Sprintf("CONFIG: request %s was sent %d ms after the confirmation and ran with a dropped key", a.Request, late.Milliseconds()))
			}
		}
	}
	return broken
}
