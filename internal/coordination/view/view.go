// Package view carries state between the two processes of an instance: the
// control process sends a View to its entry process, and the entry process sends
// back a Report. Both are sets of rows whose merging is idempotent, so sending them
// again, or restarting either process, does no harm.
package view

import (
	"slices"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/gossip"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/membership"
	"github.com/sequoiavalve/sequoiavalve/internal/state/document"
	"github.com/sequoiavalve/sequoiavalve/internal/state/instance"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/stop"
	"github.com/sequoiavalve/sequoiavalve/internal/state/suspect"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
)

// View is the message from a control process to its entry process. The first view
// is a full snapshot; later ones hold the changes.
type View struct {
	Document  *model.Document
	Shares    []model.Share
	Stops     []model.Stop
	Upstreams []upstream.Report
	Instances []model.Instance
	Suspects  suspect.Rows
	// SilentRegions are regions that are left out of endpoint answers; nil
	// means no change.
	SilentRegions *[]string
}

// Empty reports whether the view holds nothing.
func (v View) Empty() bool {
	return v.Document == nil && len(v.Shares) == 0 && len(v.Stops) == 0 && len(v.Upstreams) == 0 &&
		len(v.Instances) == 0 && v.Suspects.Empty() && v.SilentRegions == nil
}

// Report is the message from an entry process to its control process.
type Report struct {
	Evidence []gossip.EvidenceRow // full rows, not differences; counts only grow
	Stops    []model.Stop
	Leaves   []gossip.UpstreamLeave
	Suspects suspect.Rows
	Draining bool // the instance is leaving
}

// Empty reports whether the report holds nothing.
func (r Report) Empty() bool {
	return len(r.Evidence) == 0 && len(r.Stops) == 0 && len(r.Leaves) == 0 && r.Suspects.Empty() && !r.Draining
}

// Tables are the tables that views and reports update, in either process.
type Tables struct {
	Documents *document.Table
	Instances *instance.Table
	Upstreams *upstream.Table
	Stops     *stop.Table
	Suspects  *suspect.Table
	Directory *membership.Directory
}

// sentVersions are the versions of the tables up to which a receiver was sent all
// changes.
type sentVersions struct {
	generation uint64
	instances  uint64
	upstreams  uint64
	stops      uint64
	suspects   uint64
	silent     []string
}

// Publisher makes the views for one receiver. It is used by one goroutine.
type Publisher struct {
	tables Tables
	sent   sentVersions
}

// NewPublisher returns a publisher whose first view is a full snapshot.
func NewPublisher(t Tables) *Publisher { return &Publisher{tables: t} }

// Next returns what changed since the last call. The document goes first:
// reports on upstreams that the receiver does not know would be dropped.
func (p *Publisher) Next(now time.Time) View {
	var v View
	if d := p.tables.Documents.Current(); d != nil && d.Generation > p.sent.generation {
		v.Document = d
		p.sent.generation = d.Generation
		p.sent.upstreams = 0
	}
	if n := p.tables.Stops.Version(); n > p.sent.stops {
		v.Shares, v.Stops = p.tables.Stops.Shares(), p.tables.Stops.Stops()
		p.sent.stops = n
	}
	if n := p.tables.Instances.Version(); n > p.sent.instances {
		v.Instances = p.tables.Instances.All()
		p.sent.instances = n
	}
	if n := p.tables.Suspects.Version(); n > p.sent.suspects {
		v.Suspects = p.tables.Suspects.Snapshot(now)
		p.sent.suspects = n
	}
	if silent := p.tables.Directory.SilentRegions(); !slices.Equal(silent, p.sent.silent) {
		v.SilentRegions = &silent
		p.sent.silent = silent
	}
	v.Upstreams, p.sent.upstreams = p.tables.Upstreams.ReportsSince(p.sent.upstreams)
	return v
}

// Apply merges a view into the entry process's tables. configured is called
// after a new document was applied.
func Apply(t Tables, v View, now time.Time, configured func(*model.Document)) {
	if v.Document != nil && t.Documents.Apply(v.Document) {
		t.Upstreams.Configure(v.Document.Upstreams)
		configured(v.Document)
	}
	for _, s := range v.Shares {
		t.Stops.SetShare(s)
	}
	for _, s := range v.Stops {
		t.Stops.Add(s)
	}
	for _, r := range v.Upstreams {
		t.Upstreams.Apply(r)
	}
	for _, in := range v.Instances {
		t.Instances.Merge(in)
	}
	t.Suspects.Merge(v.Suspects, now)
	if v.SilentRegions != nil {
		t.Directory.SetSilentRegions(*v.SilentRegions)
	}
}
