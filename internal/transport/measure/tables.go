package measure

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/routing"
	"github.com/sequoiavalve/sequoiavalve/internal/state/document"
	"github.com/sequoiavalve/sequoiavalve/internal/state/generation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/prefix"
	"github.com/sequoiavalve/sequoiavalve/internal/state/stop"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
)

// Sizes of the tables. 3,500 upstreams and 11 models are the target scale.
var (
	upstreamSizes   = []int{350, 1750, 3500}
	generationSizes = []int{100, 1000, 4000}
)

const modelCount = 11

// fleetDocument returns a document in which the given number of engines serve the
// models of the target scale.
func fleetDocument(upstreams int) *model.Document {
	d := &model.Document{Generation: 1, Environment: "production"}
	for i := range modelCount {
		name := fmt.Sprintf("model-%02d", i)
		d.Models = append(d.Models, model.Model{Name: name, Plan: model.VersionPlan{Target: "1.0"}, MaxQueue: 500})
	}
	for i := range 390 {
		d.Organisations = append(d.Organisations, model.Organisation{ID: model.OrganisationID(fmt.Sprintf("organisation-%03d", i)), Weight: 1})
	}
	for i := range upstreams {
		d.Upstreams = append(d.Upstreams, model.Upstream{
			ID:            model.UpstreamID(fmt.Sprintf("engine-%04d", i)),
			Kind:          model.KindEngine,
			Address:       fmt.Sprintf("10.%d.%d.%d:8000", 1+i/65025, 1+i/255%255, 1+i%255),
			Region:        fmt.Sprintf("region-%d", i%4),
			FailureDomain: model.FailureDomain(fmt.Sprintf("domain-%d", i%9)),
			Serves:        d.Models[i%modelCount].Name,
			Version:       "1.0",
			Fencing:       model.FencingHonoured,
		})
	}
	return d
}

func newReport(id model.UpstreamID, sequence uint64) upstream.Report {
	return upstream.Report{
		Upstream: id, Incarnation: 1, Sequence: sequence, Health: upstream.HealthUp,
		Running: 12, TokenTime: 20 * time.Millisecond, PrefillRate: 100_000, At: time.Now(),
	}
}

func upstreamSection(context.Context, Config) ([]Row, error) {
	var pick, apply, size []point
	for _, n := range upstreamSizes {
		doc := fleetDocument(n)
		docs := document.NewTable()
		docs.Apply(doc)
		table := upstream.NewTable()
		bytes := heapGrowth(func() any {
			table.Configure(doc.Upstreams)
			return table
		})
		sequence := uint64(0)
		applyAll := func() {
			sequence++
			for _, u := range doc.Upstreams {
				table.Apply(newReport(u.ID, sequence))
			}
		}
		applyAll()
		router := routing.New(routing.Options{
			Documents: docs, Upstreams: table, Stops: stop.NewTable(), Prefixes: prefix.NewTable(),
		})
		blocks := prefix.Blocks(strings.Repeat("8 bytes ", 1<<10))
		placement := routing.Placement{
			Serves: doc.Models[0].Name, Version: "1.0", Work: routing.Work{PromptBytes: 8 << 10, Tokens: 280},
			Blocks: blocks, Now: time.Now(),
		}
		pick = append(pick, point{n, measureCost(func() {
			up, _, _ := router.Pick(placement)
			table.Release(up.ID)
		})})
		apply = append(apply, point{n, measureCost(applyAll)})
		size = append(size, point{n, bytes})
	}
	rows := slopeRows("upstream", "rows", "pick one of 11 models", "µs", pick)
	rows = append(rows, slopeRows("upstream", "rows", "apply a report to each row", "µs", apply)...)
	return append(rows, slopeRows("upstream", "rows", "memory", "bytes", size)...), nil
}

func generationSection(ctx context.Context, _ Config) ([]Row, error) {
	const tokensHeld = 280 // of an average generation at the target scale: 6.2 million tokens/s over 22,000 requests/s
	var step, size []point
	for _, n := range generationSizes {
		table := generation.NewTable()
		ids := make([]model.RequestID, n)
		for i := range ids {
			ids[i] = model.RequestID(fmt.Sprintf("instance-%026d", i))
		}
		bytes := heapGrowth(func() any {
			for _, id := range ids {
				table.Insert(generation.Record{Spec: model.GenerationSpec{Request: id, Prompt: strings.Repeat("p", 2<<10)}})
				for k := range tokensHeld {
					appendToken(table, id, k)
				}
			}
			return table
		})
		i := 0
		step = append(step, point{n, measureCost(func() {
			id := ids[i%n]
			i++
			var position int
			table.Update(id, func(r *generation.Record) {
				if len(r.Tokens) >= 2*tokensHeld {
					r.Tokens = nil
				}
				position = len(r.Tokens)
				r.Tokens = append(r.Tokens, " token")
			})
			// The token is in the table already, so Next does not wait.
			_, _ = table.NewCursor(id, position).Next(ctx)
		})})
		size = append(size, point{n, bytes})
	}
	rows := slopeRows("generation", "records", "append and read one token", "µs", step)
	return append(rows, slopeRows("generation", "records", "memory with 280 tokens and 2 KiB of prompt", "bytes", size)...), nil
}

func appendToken(table *generation.Table, id model.RequestID, position int) {
	table.Update(id, func(r *generation.Record) { r.Tokens = append(r.Tokens, fmt.Sprintf(" t%05d", position)) })
}
