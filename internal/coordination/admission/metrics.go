package admission

import (
	"context"
	"strconv"
	"sync"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/organisation"
)

// metrics holds the instruments of admission. The label values are bounded,
// because only services, classes and a fixed number of organisations appear in them.
type metrics struct {
	wait     metric.Float64Histogram
	refused  metric.Int64Counter
	admitted metric.Int64Counter

	mu       sync.Mutex // leaf lock: no other lock is taken while it is held
	labelled map[model.OrganisationID]bool
}

const (
	// maxOrganisationLabels bounds the organisations that have a metric of their own.
	maxOrganisationLabels = 32
	// otherOrganisations is the label of all further ones.
	otherOrganisations = "other"
)

// organisationLabel returns the organisation's label. The first organisations that ask for
// admission have one of their own.
func (m *metrics) organisationLabel(id model.OrganisationID) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.labelled[id] {
		if len(m.labelled) >= maxOrganisationLabels {
			return otherOrganisations
		}
		m.labelled[id] = true
	}
	return string(id)
}

func newMetrics(organisations *organisation.Table) *metrics {
	meter := otel.Meter("sequoiavalve/admission")
	m := &metrics{labelled: map[model.OrganisationID]bool{}}
	// Errors are ignored: they arise only from invalid names, and the API then
	// returns a usable no-op instrument.
	m.wait, _ = meter.Float64Histogram("admission_wait_time", metric.WithUnit("s"),
		metric.WithDescription("Time from the request for admission to the admission."))
	m.refused, _ = meter.Int64Counter("admission_refused",
		metric.WithDescription("Requests that were not admitted, by the code of the refusal."))
	m.admitted, _ = meter.Int64Counter("admission_admitted",
		metric.WithDescription("Requests that were admitted, by organisation. All but the first 32 organisations count as other."))
	for _, code := range []string{CodeOverloaded, CodeDeadlineUnmet, CodeCancelled, CodeDuplicate} {
		m.refused.Add(context.Background(), 0, codeLabel(code)) // shows 0 before the first refusal
	}
	_, _ = meter.Int64ObservableGauge("admission_queue_length",
		metric.WithDescription("Requests that wait for admission."),
		metric.WithInt64Callback(observeQueues(organisations, func(q *organisation.Queue) int { return q.Len() })))
	_, _ = meter.Int64ObservableGauge("admission_in_flight",
		metric.WithDescription("Requests that were admitted and have not ended."),
		metric.WithInt64Callback(observeQueues(organisations, func(q *organisation.Queue) int { return q.InFlight })))
	return m
}

// observeQueues returns a callback that reports one value of each model's
// queue. The values are copied before they are reported, because no outside code
// may be called under the table's lock.
func observeQueues(organisations *organisation.Table, value func(*organisation.Queue) int) metric.Int64Callback {
	return func(_ context.Context, observer metric.Int64Observer) error {
		values := map[string]int{}
		organisations.Update(func(s *organisation.State) {
			for serves, q := range s.Queues {
				values[serves] = value(q)
			}
		})
		for serves, n := range values {
			observer.Observe(int64(n), metric.WithAttributes(attribute.String("model", serves)))
		}
		return nil
	}
}

// withMetrics wraps onDecision to record the wait of an admission or to count a
// refusal. A request is counted as admitted once, however often it asks.
func (m *metrics) withMetrics(req Request, onDecision func(*model.Refusal)) func(*model.Refusal) {
	entered := time.Now()
	return func(refusal *model.Refusal) {
		switch {
		case refusal != nil:
			m.refused.Add(context.Background(), 1, codeLabel(refusal.Code))
		case req.Again: // counted when it was admitted first
		default:
			m.admitted.Add(context.Background(), 1, metric.WithAttributes(attribute.String("organisation", m.organisationLabel(req.Organisation))))
			m.wait.Record(context.Background(), time.Since(entered).Seconds(),
				metric.WithAttributes(attribute.String("priority", priorityName(req.Priority))))
		}
		onDecision(refusal)
	}
}

func codeLabel(code string) metric.MeasurementOption {
	return metric.WithAttributes(attribute.String("code", code))
}

func priorityName(p model.Priority) string {
	switch p {
	case model.PriorityResume:
		return "resume"
	case model.PriorityInteractive:
		return "interactive"
	case model.PriorityBatch:
		return "batch"
	default:
		return "class" + strconv.Itoa(int(p-model.PriorityInteractive))
	}
}
