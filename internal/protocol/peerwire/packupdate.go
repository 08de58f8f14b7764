package peerwire

import (
	"cmp"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/gossip"
	"github.com/sequoiavalve/sequoiavalve/internal/state/evidence"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
)

// packUpdates encodes updates. Each version is relative to the version of the
// previous update.
func packUpdates(updates []gossip.Update) ([]byte, error) {
	if len(updates) == 0 {
		return nil, nil
	}
	var p packer
	p.uint(uint64(len(updates)))
	last := uint64(0)
	for _, u := range updates {
		p.string(stringInstance, string(u.Origin.ID))
		p.uint(u.Origin.Incarnation)
		p.int(int64(u.To - last))
		p.uint(u.To - min(u.From, u.To))
		if err := packInstance(&p, u); err != nil {
			return nil, err
		}
		packReports(&p, u.Reports, u.To)
		packEvidence(&p, u.Evidence, u.To)
		last = u.To
	}
	return p.data, nil
}

func unpackUpdates(data []byte) ([]gossip.Update, error) {
	if len(data) == 0 {
		return nil, nil
	}
	u := unpacker{data: data}
	n := u.count()
	updates := make([]gossip.Update, 0, n)
	last := uint64(0)
	for range n {
		var update gossip.Update
		update.Origin.ID = model.InstanceID(u.string(stringInstance))
		update.Origin.Incarnation = u.uint()
		last += uint64(u.int())
		update.To = last
		update.From = last - min(u.uint(), last)
		if err := unpackInstance(&u, &update); err != nil {
			return nil, err
		}
		update.Reports = unpackReports(&u, update.To)
		update.Evidence = unpackEvidence(&u, update)
		updates = append(updates, update)
		if u.err != nil {
			break
		}
	}
	return updates, u.finish("updates")
}

// packInstance encodes an update's instance as CBOR rather than packed, because
// instances are sent rarely.
func packInstance(p *packer, u gossip.Update) error {
	if u.Instance == nil {
		p.bytes(nil)
		return nil
	}
	data, err := encoding.Marshal(u.Instance)
	if err != nil {
		return trace.Wrap(err, "encode instance %s", u.Instance.ID)
	}
	p.bytes(data)
	p.versionAge(u.To, u.Changed)
	return nil
}

func unpackInstance(u *unpacker, update *gossip.Update) error {
	data := u.bytes()
	if len(data) == 0 {
		return nil
	}
	update.Instance = &model.Instance{}
	if err := decoding.Unmarshal(data, update.Instance); err != nil {
		return trace.Wrap(err, "decode instance")
	}
	update.Changed = u.version(update.To)
	return nil
}

// versionAge encodes the version at which an entry changed as its distance from the
// update's version.
func (p *packer) versionAge(to, changed uint64) { p.uint(to - min(changed, to)) }

// version decodes what versionAge encoded.
func (u *unpacker) version(to uint64) uint64 { return to - min(u.uint(), to) }

// healthCodes lists the upstream health states; a state's index is its code on the
// wire.
var healthCodes = []upstream.Health{
	upstream.HealthUnknown, upstream.HealthUp, upstream.HealthDown, upstream.HealthLeaving,
}

// Units of load figures on the wire. Routing needs no more precision.
const (
	tokenTimeUnit   = 10 * time.Microsecond
	prefillRateUnit = 64 // bytes/s
)

// packReports encodes reports sorted by upstream. A report's sequence number is
// twice the watcher's time in milliseconds, so the report's time is encoded
// relative to half the sequence number.
func packReports(p *packer, reports []gossip.Report, to uint64) {
	reports = slices.SortedStableFunc(slices.Values(reports), func(a, b gossip.Report) int {
		return cmp.Compare(a.Upstream, b.Upstream)
	})
	p.uint(uint64(len(reports)))
	last := uint64(0)
	for _, r := range reports {
		p.string(stringUpstream, string(r.Upstream))
		p.uint(r.Incarnation)
		p.int(int64(r.Sequence - last))
		flags := uint64(max(slices.Index(healthCodes, r.Health), 0)) << 1
		if r.CrossRegion {
			flags |= 1
		}
		p.uint(flags)
		p.uint(uint64(max(r.Running, 0)))
		p.uint(uint64(max(r.Waiting, 0)))
		p.uint(uint64(max(r.TokenTime, 0) / tokenTimeUnit))
		p.uint(uint64(max(r.PrefillRate, 0) / prefillRateUnit))
		p.int(r.At.UnixMilli() - int64(r.Sequence>>1))
		p.versionAge(to, r.Changed)
		last = r.Sequence
	}
}

func unpackReports(u *unpacker, to uint64) []gossip.Report {
	n := u.count()
	var reports []gossip.Report
	last := uint64(0)
	for range n {
		var r gossip.Report
		r.Upstream = model.UpstreamID(u.string(stringUpstream))
		r.Incarnation = u.uint()
		last += uint64(u.int())
		r.Sequence = last
		flags := u.uint()
		r.CrossRegion = flags&1 == 1
		r.Health = healthCodes[min(flags>>1, uint64(len(healthCodes)-1))]
		r.Running, r.Waiting = u.uint31(), u.uint31()
		r.TokenTime = time.Duration(u.uint31()) * tokenTimeUnit
		r.PrefillRate = float64(u.uint31()) * prefillRateUnit
		r.At = time.UnixMilli(u.int() + int64(last>>1))
		r.Changed = u.version(to)
		reports = append(reports, r)
	}
	return reports
}

// packEvidence encodes rows without their instance, which is the update's origin,
// and without empty latency buckets.
func packEvidence(p *packer, rows []gossip.EvidenceRow, to uint64) {
	p.uint(uint64(len(rows)))
	for _, r := range rows {
		p.string(stringServes, r.Key.Version.Serves)
		p.string(stringVersion, r.Key.Version.Version)
		p.string(stringRoute, r.Key.Route)
		p.int(r.Key.Minute)
		p.uint(r.Counts.Requests)
		p.uint(r.Counts.Failures)
		packBuckets(p, &r.Counts.FirstWait)
		packBuckets(p, &r.Counts.Pace)
		p.versionAge(to, r.Changed)
	}
}

// packBuckets encodes a bit mask of the buckets that are not empty, and their
// counts.
func packBuckets(p *packer, buckets *[evidence.Buckets]uint64) {
	used := uint64(0)
	for i, n := range buckets {
		if n > 0 {
			used |= 1 << i
		}
	}
	p.uint(used)
	for _, n := range buckets {
		if n > 0 {
			p.uint(n)
		}
	}
}

func unpackEvidence(u *unpacker, update gossip.Update) []gossip.EvidenceRow {
	n := u.count()
	var rows []gossip.EvidenceRow
	for range n {
		var r gossip.EvidenceRow
		r.Key.Instance = update.Origin.ID
		r.Key.Version.Serves = u.string(stringServes)
		r.Key.Version.Version = u.string(stringVersion)
		r.Key.Route = u.string(stringRoute)
		r.Key.Minute = u.int()
		r.Counts.Requests = u.uint()
		r.Counts.Failures = u.uint()
		unpackBuckets(u, &r.Counts.FirstWait)
		unpackBuckets(u, &r.Counts.Pace)
		r.Changed = u.version(update.To)
		rows = append(rows, r)
	}
	return rows
}

func unpackBuckets(u *unpacker, buckets *[evidence.Buckets]uint64) {
	used := u.uint()
	for i := range buckets {
		if used&(1<<i) != 0 {
			buckets[i] = u.uint()
		}
	}
}
