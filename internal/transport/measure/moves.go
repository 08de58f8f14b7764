package measure

import (
	"context"
	"fmt"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/rollout/bench"
)

// movesSection runs good and bad version moves under the policy that decides by
// evidence and, as the baseline, in timed steps that ignore the evidence.
func movesSection(_ context.Context, c Config) ([]Row, error) {
	moves := c.scaled(100, 10)
	var rows []Row
	measured := bench.Run(int64(c.Seed), moves)
	for i := 0; i+1 < len(measured); i += 2 {
		ours, base := measured[i], measured[i+1]
		add := func(figure, unit, value, baseline string) {
			rows = append(rows, Row{
				Section: "moves", Case: ours.Kind, Figure: figure, Unit: unit, Value: value, Baseline: baseline,
			})
		}
		add("highest share", "part", formatNumber(ours.HighestShare), formatNumber(base.HighestShare))
		if ours.Good {
			add("finished on time", "of moves", formatFraction(ours.OnTime, moves), formatFraction(base.OnTime, moves))
			continue
		}
		add("taken back", "of moves", formatFraction(ours.TakenBack, moves), formatFraction(base.TakenBack, moves))
		add("sent after the fault", "requests", formatNumber(ours.SentAfterFault), formatNumber(base.SentAfterFault))
		add("time to take back", "s", formatNumber(ours.TimeToTakeBack.Seconds()), "never")
	}
	return rows, nil
}

func formatFraction(fraction float64, n int) string {
	return fmt.Sprintf("%.0f/%d", fraction*float64(n), n)
}
