package measure

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/gossip"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/replication"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/view"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/envdoc"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/peerwire"
	"github.com/sequoiavalve/sequoiavalve/internal/state/evidence"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// encodeMessage returns the bytes of a message on the wire, without its length
// prefix.
func encodeMessage(m peerwire.Message, err error) ([]byte, error) {
	if err != nil {
		return nil, err
	}
	return peerwire.Encode(m)
}

// documentYAML returns a document as YAML, in the form that operators write.
func documentYAML(d *model.Document) []byte {
	var out bytes.Buffer
	fmt.Fprintln(&out, "organisations:")
	for _, o := range d.Organisations {
		fmt.Fprintf(&out, "  - {id: %s, weight: %d}\n", o.ID, o.Weight)
	}
	fmt.Fprintln(&out, "models:")
	for _, m := range d.Models {
		fmt.Fprintf(&out, "  - {name: %s, target: %q, max_queue: %d}\n", m.Name, m.Plan.Target, m.MaxQueue)
	}
	fmt.Fprintln(&out, "upstreams:")
	for _, u := range d.Upstreams {
		fmt.Fprintf(&out, "  - {id: %s, kind: %s, address: %q, region: %s, failure_domain: %s, serves: %s, version: %q, fencing: %s}\n",
			u.ID, u.Kind, u.Address, u.Region, u.FailureDomain, u.Serves, u.Version, u.Fencing)
	}
	return out.Bytes()
}

func documentSection(context.Context, Config) ([]Row, error) {
	var parse, text, wire, encode, decode []point
	for _, n := range upstreamSizes {
		doc := fleetDocument(n)
		src := documentYAML(doc)
		if _, err := envdoc.Decode(src); err != nil {
			return nil, err
		}
		// The first view holds the document and a report on each upstream.
		first := view.View{Document: doc}
		for _, u := range doc.Upstreams {
			first.Upstreams = append(first.Upstreams, newReport(u.ID, 1))
		}
		data, err := encodeMessage(peerwire.EncodeView(first))
		if err != nil {
			return nil, err
		}
		message, err := peerwire.Decode(data)
		if err != nil {
			return nil, err
		}
		documentOnly, err := encodeMessage(peerwire.EncodeView(view.View{Document: doc}))
		if err != nil {
			return nil, err
		}
		parse = append(parse, point{n, measureCost(func() { _, _ = envdoc.Decode(src) })})
		encode = append(encode, point{n, measureCost(func() { _, _ = encodeMessage(peerwire.EncodeView(first)) })})
		decode = append(decode, point{n, measureCost(func() { _, _ = peerwire.DecodeView(message) })})
		text = append(text, point{n, float64(len(src))})
		wire = append(wire, point{n, float64(len(documentOnly))})
	}
	rows := slopeRows("document", "upstreams", "parse and check YAML", "µs", parse)
	rows = append(rows, slopeRows("document", "upstreams", "YAML", "bytes", text)...)
	rows = append(rows, slopeRows("document", "upstreams", "CBOR", "bytes", wire)...)
	rows = append(rows, slopeRows("document", "upstreams", "encode whole view", "µs", encode)...)
	return append(rows, slopeRows("document", "upstreams", "decode whole view", "µs", decode)...), nil
}

// batchSizes are the numbers of tokens in one append to a token log.
var batchSizes = []int{1, 4, 16, 64}

func logSection(context.Context, Config) ([]Row, error) {
	var size, encode, decode []point
	for _, n := range batchSizes {
		batch := replication.Append{Request: "instance-0001-abcdefghijklmnopqrstuvwxyz", Line: "ABCDEFGHIJKLMNOP", First: 1000}
		for i := range n {
			batch.Tokens = append(batch.Tokens, fmt.Sprintf(" t%05d", i))
		}
		data, err := encodeMessage(peerwire.EncodeAppends([]replication.Append{batch}))
		if err != nil {
			return nil, err
		}
		size = append(size, point{n, float64(len(data))})
		encode = append(encode, point{n, measureCost(func() { _, _ = encodeMessage(peerwire.EncodeAppends([]replication.Append{batch})) })})
		decode = append(decode, point{n, measureCost(func() {
			if m, err := peerwire.Decode(data); err == nil {
				_, _ = peerwire.DecodeAppends(m)
			}
		})})
	}
	rows := slopeRows("log", "tokens of 7 bytes", "append message", "bytes", size)
	rows = append(rows, slopeRows("log", "tokens of 7 bytes", "encode", "µs", encode)...)
	return append(rows, slopeRows("log", "tokens of 7 bytes", "decode", "µs", decode)...), nil
}

// evidenceRow returns the evidence of a busy minute on one version, with counts in a
// few latency buckets.
func evidenceRow(instance, serves, version int) gossip.EvidenceRow {
	row := gossip.EvidenceRow{Key: evidence.Key{
		Instance: model.InstanceID(fmt.Sprintf("instance-%03d", instance)),
		Version:  model.VersionKey{Serves: fmt.Sprintf("model-%02d", serves), Version: fmt.Sprintf("%d.0", version)},
		Route:    "generate",
		Minute:   29_000_000,
	}}
	row.Counts.Requests, row.Counts.Failures = 190, 1
	for i := range 4 {
		row.Counts.FirstWait[12+i], row.Counts.Pace[8+i] = 47, 47
	}
	return row
}

func evidenceSection(context.Context, Config) ([]Row, error) {
	var wire, memory, merge []point
	const versions = 2
	for _, n := range []int{1, 3, modelCount} {
		var sent view.Report
		for i := range n * versions {
			sent.Evidence = append(sent.Evidence, evidenceRow(0, i/versions, i%versions))
		}
		data, err := encodeMessage(peerwire.EncodeReport(sent))
		if err != nil {
			return nil, err
		}
		wire = append(wire, point{n * versions, float64(len(data))})
	}
	for _, instances := range []int{64, 320, 640} {
		rows := instances * modelCount * versions
		fill := func() any {
			table := evidence.NewTable()
			for i := range rows {
				row := evidenceRow(i/(modelCount*versions), i/versions%modelCount, i%versions)
				table.Merge(row.Key, row.Counts)
			}
			return table
		}
		memory = append(memory, point{rows, heapGrowth(fill)})
		began := time.Now()
		fill()
		merge = append(merge, point{rows, float64(time.Since(began)) / float64(time.Microsecond)})
	}
	out := slopeRows("evidence", "rows", "report to controld", "bytes", wire)
	out = append(out, slopeRows("evidence", "rows of one minute", "memory", "bytes", memory)...)
	return append(out, slopeRows("evidence", "rows of one minute", "merge all", "µs", merge)...), nil
}
