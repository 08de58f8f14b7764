// Package probe asks upstreams for their health and load. It implements the
// watch package's Prober for engines and plain services alike.
package probe

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/engineapi"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/answerlimit"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/keptconn"
)

const maxHealthBytes = 64 << 10

// Prober probes upstreams over HTTP.
type Prober struct {
	http *http.Client
}

// New returns a Prober.
func New() *Prober {
	return &Prober{http: &http.Client{Transport: keptconn.New(&http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true, MaxResponseHeaderBytes: answerlimit.MaxHeadBytes})}}
}

// Probe asks one upstream. The report has no sequence number.
func (p *Prober) Probe(ctx context.Context, up model.Upstream) (upstream.Report, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+up.Address+engineapi.HealthPath, nil)
	if err != nil {
		return upstream.Report{}, fmt.Errorf("build probe: %w", err)
	}
	resp, err := p.http.Do(req)
	if err != nil {
		return upstream.Report{}, fmt.Errorf("probe %s: %w", up.ID, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return upstream.Report{}, fmt.Errorf("probe %s: status %d", up.ID, resp.StatusCode)
	}
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxHealthBytes))
	if err != nil { // also after an object that is whole
		return upstream.Report{}, fmt.Errorf("probe %s: %w", up.ID, err)
	}
	var health engineapi.Health
	if err := json.Unmarshal(answer, &health); err != nil {
		return upstream.Report{}, fmt.Errorf("probe %s: %w", up.ID, err)
	}
	return report(up, health, time.Now()), nil
}

// Bounds of the figures in an upstream's health answer. A negative figure would
// attract all work to the upstream, and a very large one overflows the estimates.
const (
	maxGenerations = 1 << 20
	maxTokenTimeMS = 60_000.0
	maxPrefillRate = 1e12 // bytes/s
)

// report makes a report of an upstream's health answer, with its figures limited
// to the bounds above.
func report(up model.Upstream, h engineapi.Health, now time.Time) upstream.Report {
	r := upstream.Report{
		Upstream:    up.ID,
		Incarnation: h.Incarnation,
		Health:      upstream.HealthUp,
		Running:     min(max(h.Running, 0), maxGenerations),
		Waiting:     min(max(h.Waiting, 0), maxGenerations),
		TokenTime:   time.Duration(min(max(h.TokenTimeMS, 0), maxTokenTimeMS) * float64(time.Millisecond)),
		PrefillRate: min(max(h.PrefillBytesSec, 0), maxPrefillRate),
		At:          h.LoadAt,
	}
	if r.At.After(now) {
		r.At = now
	}
	if h.Status == engineapi.StatusLeaving {
		r.Health = upstream.HealthLeaving
	}
	return r
}
