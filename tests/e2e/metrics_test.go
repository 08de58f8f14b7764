package e2e

import (
	"fmt"
	"net/http"
	"os"
	"regexp"
	"slices"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"gotest.tools/v3/assert"
)

// documentedMetric matches a row of the table of metrics on the operators' page.
var documentedMetric = regexp.MustCompile("(?m)^\\| `([a-z_]+)(?:\\{([a-z_,]+)\\})?` \\| (entryd|controld|both) \\|")

// documentedMetrics returns the metrics of a process on the operators' page,
// with their labels.
func documentedMetrics(t *testing.T, process string) []string {
	t.Helper()
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	var metrics []string
	for _, row := range documentedMetric.FindAllStringSubmatch(string(page), -1) {
		if row[3] == process || row[3] == "both" {
			metrics = append(metrics, metricName(row[1], strings.Split(row[2], ",")))
		}
	}
	return metrics
}

// exportedMetrics returns the metrics that a process exports, with their
// labels, without those of the runtime and the operating system.
func exportedMetrics(t *testing.T, address string) []string {
	t.Helper()
	resp, err := http.Get("http://" + address + "/metrics")
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	assert.NilError(t, err)
	var metrics []string
	for name, family := range families {
		if strings.HasPrefix(name, "go_") || strings.HasPrefix(name, "process_") {
			continue
		}
		var labels []string
		for _, sample := range family.GetMetric() {
			for _, pair := range sample.GetLabel() {
				if !slices.Contains(labels, pair.GetName()) {
					labels = append(labels, pair.GetName())
				}
			}
		}
		metrics = append(metrics, metricName(name, labels))
	}
	return metrics
}

func metricName(name string, labels []string) string {
	sort.Strings(labels)
	return fmt.Sprintf("%s{%s}", name, strings.Join(labels, ","))
}

// Guards against an operators' page that names metrics or labels which the
// processes do not export, or leaves out some that they do. Some metrics
// appear only after their first event, so the test causes one of each.
func TestMetricsAreThoseOfTheOperatorsPage(t *testing.T) {
	t.Parallel()
	c := startCluster(t, plan{instances: 2, engines: 2, services: 1, engineFlags: []string{"--token-time", tokenTime}})
	const prompt = "Write the list of each step."
	got := c.stream(t, prompt, 2*copiedTokens, copiedTokens, func(request string) { c.engineOf(t, request).kill() })
	checkComplete(t, got, prompt, 2*copiedTokens)
	user := owner(t, got.RequestID)
	assert.Equal(t, c.book(t, user, "metrics").status, http.StatusOK)
	for process, address := range map[string]string{"entryd": c.callerAddrs[user], "controld": c.metricsAddrs[user]} {
		want := documentedMetrics(t, process)
		sort.Strings(want)
		var have []string
		for range 30 { // a lease has a candidate some seconds after the start
			have = exportedMetrics(t, address)
			sort.Strings(have)
			if slices.Equal(have, want) {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		assert.DeepEqual(t, have, want)
	}
}
