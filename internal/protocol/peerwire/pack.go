package peerwire

import (
	"encoding/binary"
	"errors"
	"math"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/gossip"
	"github.com/sequoiavalve/sequoiavalve/internal/state/evidence"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
)

// maxPackedItems bounds the items of one packed list, against a small message
// that expands to a large one.
const maxPackedItems = 1 << 16

var errTruncated = errors.New("packed list is truncated")

// packer appends numbers and strings to a byte string. Strings drop the
// prefix that they share with the one before, since the IDs of a list are
// sorted and alike.
type packer struct {
	data []byte
	last string
}

func (p *packer) uint(v uint64) { p.data = binary.AppendUvarint(p.data, v) }
func (p *packer) int(v int64)   { p.data = binary.AppendVarint(p.data, v) }

func (p *packer) string(s string) {
	shared := 0
	for shared < min(len(s), len(p.last)) && s[shared] == p.last[shared] {
		shared++
	}
	p.uint(uint64(shared))
	p.uint(uint64(len(s) - shared))
	p.data = append(p.data, s[shared:]...)
	p.last = s
}

// unpacker reads what a packer wrote. After the first failure all values are
// zero and err is set.
type unpacker struct {
	data []byte
	last string
	err  error
}

func (u *unpacker) fail() { u.data, u.err = nil, errTruncated }

func (u *unpacker) uint() uint64 {
	v, n := binary.Uvarint(u.data)
	if n <= 0 {
		u.fail()
		return 0
	}
	u.data = u.data[n:]
	return v
}

func (u *unpacker) int() int64 {
	v, n := binary.Varint(u.data)
	if n <= 0 {
		u.fail()
		return 0
	}
	u.data = u.data[n:]
	return v
}

// small reads a number that must fit into 31 bits.
func (u *unpacker) small() int {
	v := u.uint()
	if v > math.MaxInt32 {
		u.fail()
		return 0
	}
	return int(v)
}

func (u *unpacker) string() string {
	shared, size := u.uint(), u.uint()
	if shared > uint64(len(u.last)) || size > uint64(len(u.data)) || shared+size > maxErrorBytes {
		u.fail()
		return ""
	}
	s := u.last[:shared] + string(u.data[:size])
	u.data, u.last = u.data[size:], strings.Clone(s)
	return s
}

// count reads the number of items that follow, each of at least one byte.
func (u *unpacker) count() int {
	n := u.uint()
	if n > maxPackedItems || n > uint64(len(u.data)) {
		u.fail()
		return 0
	}
	return int(n)
}

func (u *unpacker) result(what string) error {
	if u.err == nil && len(u.data) > 0 {
		u.err = errors.New("packed list has trailing bytes")
	}
	if u.err != nil {
		return trace.Wrap(trace.BadParameter("%s: %v", what, u.err))
	}
	return nil
}

// packVersions writes the highest version and the distance of each from it.
// Versions of live origins are close together, so most take one byte.
func packVersions(versions []uint64) []byte {
	var p packer
	highest := uint64(0)
	for _, v := range versions {
		highest = max(highest, v)
	}
	p.uint(uint64(len(versions)))
	p.uint(highest)
	for _, v := range versions {
		p.uint(highest - v)
	}
	return p.data
}

func unpackVersions(data []byte) ([]uint64, error) {
	u := unpacker{data: data}
	n := u.count()
	highest := u.uint()
	versions := make([]uint64, 0, n)
	for range n {
		versions = append(versions, highest-min(u.uint(), highest))
	}
	return versions, u.result("versions")
}

func packOrigins(origins []gossip.Origin) []byte {
	var p packer
	p.uint(uint64(len(origins)))
	for _, o := range origins {
		p.string(string(o.ID))
		p.uint(o.Incarnation)
	}
	return p.data
}

func unpackOrigins(data []byte) ([]gossip.Origin, error) {
	u := unpacker{data: data}
	n := u.count()
	origins := make([]gossip.Origin, 0, n)
	for range n {
		origins = append(origins, gossip.Origin{ID: model.InstanceID(u.string()), Incarnation: u.uint()})
	}
	return origins, u.result("origins")
}

// healthCodes are the codes of upstream health on the wire.
var healthCodes = []upstream.Health{
	upstream.HealthUnknown, upstream.HealthUp, upstream.HealthDown, upstream.HealthLeaving,
}

func healthCode(h upstream.Health) uint64 {
	for i, known := range healthCodes {
		if known == h {
			return uint64(i)
		}
	}
	return 0
}

// packReports writes reports. Token times have a unit of 10 µs and prefill
// rates one of 1 byte/s; times have one of 1 ms and are relative to the first.
func packReports(reports []gossip.Report) []byte {
	var p packer
	p.uint(uint64(len(reports)))
	at, sequence := int64(0), uint64(0)
	for _, r := range reports {
		p.string(string(r.Upstream))
		p.uint(r.Incarnation)
		p.int(int64(r.Sequence - sequence))
		flags := healthCode(r.Health) << 1
		if r.Wide {
			flags |= 1
		}
		p.uint(flags)
		p.uint(uint64(max(r.Running, 0)))
		p.uint(uint64(max(r.Waiting, 0)))
		p.uint(uint64(max(r.TokenTime, 0) / tokenTimeUnit))
		p.uint(uint64(max(r.PrefillRate, 0)))
		p.int(r.At.UnixMilli() - at)
		at, sequence = r.At.UnixMilli(), r.Sequence
	}
	return p.data
}

const tokenTimeUnit = 10 * time.Microsecond

func unpackReports(data []byte) ([]gossip.Report, error) {
	u := unpacker{data: data}
	n := u.count()
	reports := make([]gossip.Report, 0, n)
	at, sequence := int64(0), uint64(0)
	for range n {
		var r gossip.Report
		r.Upstream = model.UpstreamID(u.string())
		r.Incarnation = u.uint()
		sequence += uint64(u.int())
		r.Sequence = sequence
		flags := u.uint()
		r.Wide = flags&1 == 1
		r.Health = healthCodes[min(flags>>1, uint64(len(healthCodes)-1))]
		r.Running, r.Waiting = u.small(), u.small()
		r.TokenTime = time.Duration(u.small()) * tokenTimeUnit
		r.PrefillRate = float64(u.uint())
		at += u.int()
		r.At = time.UnixMilli(at)
		reports = append(reports, r)
	}
	return reports, u.result("reports")
}

// packEvidence writes rows without their instance, which is the origin, and
// without empty latency buckets.
func packEvidence(rows []gossip.EvidenceRow) []byte {
	var p packer
	p.uint(uint64(len(rows)))
	for _, r := range rows {
		p.string(r.Key.Version.Serves)
		p.string(r.Key.Version.Version)
		p.string(r.Key.Route)
		p.int(r.Key.Minute)
		p.uint(r.Counts.Requests)
		p.uint(r.Counts.Failures)
		packBuckets(&p, &r.Counts.FirstWait)
		packBuckets(&p, &r.Counts.Pace)
	}
	return p.data
}

// packBuckets writes a bit for each bucket that is not empty and its count.
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

func unpackEvidence(origin model.InstanceID, data []byte) ([]gossip.EvidenceRow, error) {
	u := unpacker{data: data}
	n := u.count()
	rows := make([]gossip.EvidenceRow, 0, n)
	for range n {
		var r gossip.EvidenceRow
		r.Key.Instance = origin
		r.Key.Version.Serves = u.string()
		r.Key.Version.Version = u.string()
		r.Key.Route = u.string()
		r.Key.Minute = u.int()
		r.Counts.Requests = u.uint()
		r.Counts.Failures = u.uint()
		unpackBuckets(&u, &r.Counts.FirstWait)
		unpackBuckets(&u, &r.Counts.Pace)
		rows = append(rows, r)
	}
	return rows, u.result("evidence")
}

func unpackBuckets(u *unpacker, buckets *[evidence.Buckets]uint64) {
	used := u.uint()
	for i := range buckets {
		if used&(1<<i) != 0 {
			buckets[i] = u.uint()
		}
	}
}
