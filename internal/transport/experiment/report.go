package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Print writes a table with one row for each policy.
func Print(out io.Writer, results []Result) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	if _, err := fmt.Fprintln(w, "policy\tserved\tlate\trefused\tlost\tfirst p50 ms\tp95 ms\ttokens read\tread twice\tsecond sends\tcontrol kB\tstore calls\t"); err != nil {
		return err
	}
	for _, r := range results {
		if _, err := fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", r.Policy,
			r.Counts[Served], r.Counts[Late], r.Counts[Refused], r.Counts[Lost],
			r.firstEventQuantile(0.5).Milliseconds(), r.firstEventQuantile(0.95).Milliseconds(),
			r.PromptTokensComputed, r.PromptTokensRecomputed, r.RepeatedRuns, r.ControlBytes/1000, r.StoreCalls); err != nil {
			return err
		}
	}
	return w.Flush()
}

// firstEventQuantile returns a quantile of the time to the first event.
func (r Result) firstEventQuantile(q float64) time.Duration {
	if len(r.FirstEventTimes) == 0 {
		return 0
	}
	return r.FirstEventTimes[int(q*float64(len(r.FirstEventTimes)-1))]
}
