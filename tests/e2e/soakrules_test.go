package e2e

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin/fleet"
)

// secondPrefix begins the names of the second services of each kind, to which
// changes of the rules move routes.
const secondPrefix = "second-"

// rulesDraft is the JSON form of the rules, for changes to parts of it.
type rulesDraft struct {
	Version  int              `json:"version"`
	Routes   []map[string]any `json:"routes"`
	Services []map[string]any `json:"services"`
	Limits   map[string]any   `json:"limits"`
	Tenants  []map[string]any `json:"tenants"`
}

// baseRules returns the rules before any change, with or without the spare key.
func baseRules(version int, spare bool) string {
	text := fmt.Sprintf(fleet.Rules, version)
	if spare {
		text = strings.ReplaceAll(text, `["key"]`, `["key","`+spareKey+`"]`)
	}
	return text
}

// variedRules returns rules in which routes go to other services or are split, with
// other time limits, routes, limits and keys. They allow all that callers send.
func variedRules(version int, spare bool, random *rand.Rand) string {
	var draft rulesDraft
	if err := json.Unmarshal([]byte(baseRules(version, spare)), &draft); err != nil {
		panic(err)
	}
	for _, service := range draft.Services {
		second := map[string]any{}
		for field, value := range service {
			second[field] = value
		}
		second["name"] = secondPrefix + fmt.Sprint(service["name"])
		draft.Services = append(draft.Services, second)
	}
	for _, route := range draft.Routes {
		varyRoute(route, random)
	}
	for i := range random.IntN(40) {
		added := map[string]any{}
		for field, value := range draft.Routes[random.IntN(3)] {
			added[field] = value
		}
		added["name"], added["prefix"] = fmt.Sprint("added", i), fmt.Sprintf("/added%d/", i)
		draft.Routes = append(draft.Routes, added)
	}
	random.Shuffle(len(draft.Routes), func(i, j int) { draft.Routes[i], draft.Routes[j] = draft.Routes[j], draft.Routes[i] })
	draft.Limits = map[string]any{
		"maxBodyBytes":    64 << random.IntN(16),
		"maxHeaderBytes":  8192 << random.IntN(4),
		"headerTimeoutMs": 1000 * (1 + random.IntN(10)),
		"idleTimeoutMs":   5000 * (1 + random.IntN(12)),
	}
	for i := range random.IntN(4) {
		draft.Tenants = append(draft.Tenants, map[string]any{"name": fmt.Sprint("org", i), "apiKeys": []string{fmt.Sprint("other", i)}})
	}
	text, err := json.Marshal(draft)
	if err != nil {
		panic(err)
	}
	return string(text)
}

// varyRoute changes the service, the time limits and the attempts of a route.
func varyRoute(route map[string]any, random *rand.Rand) {
	service := fmt.Sprint(route["service"])
	switch random.IntN(3) {
	case 0:
		route["service"] = secondPrefix + service
	case 1:
		delete(route, "service")
		weight := 1 + random.IntN(99)
		route["trafficSplit"] = []map[string]any{
			{"service": service, "weight": weight}, {"service": secondPrefix + service, "weight": 100 - weight},
		}
	}
	if route["kind"] == "streaming" {
		route["timeoutMs"] = 15_000 + 1000*random.IntN(15)
		return
	}
	route["timeoutMs"] = 3000 + 500*random.IntN(10)
	route["targetLatencyMs"] = 300 + 100*random.IntN(4)
}

// changeRules publishes the next version, with or without the spare key. random
// varies the other parts of the rules; nil leaves them as they are at the beginning.
func (s *soak) changeRules(spare bool, random *rand.Rand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	text := baseRules(s.version, spare)
	if random != nil {
		text = variedRules(s.version, spare, random)
	}
	s.lastRules = []byte(text)
	s.edges.fleet.Store.Put("op", "config", s.lastRules)
	s.keyChanges = append(s.keyChanges, keyChange{time.Now(), spare})
}
