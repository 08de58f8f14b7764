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
)

const maxHealthBytes = 64 << 10

// Prober probes upstreams over HTTP.
type Prober struct {
	http *http.Client
}

// New returns a Prober.
func New() *Prober {
	return &Prober{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}}
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
	var health engineapi.Health
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxHealthBytes)).Decode(&health); err != nil {
		return upstream.Report{}, fmt.Errorf("probe %s: %w", up.ID, err)
	}
	return report(up, health), nil
}

func report(up model.Upstream, h engineapi.Health) upstream.Report {
	r := upstream.Report{
		Upstream:    up.ID,
		Incarnation: h.Incarnation,
		Health:      upstream.HealthUp,
		Running:     h.Running,
		Waiting:     h.Waiting,
		TokenTime:   time.Duration(h.TokenTimeMS * float64(time.Millisecond)),
		PrefillRate: h.PrefillBytesSec,
		At:          h.LoadAt,
	}
	if h.Status == engineapi.StatusLeaving {
		r.Health = upstream.HealthLeaving
	}
	return r
}
