package telemetry

import (
	"net/http"
	"time"

	"github.com/peppertrail/peppertrail/pkg/verdict"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const namespace = "peppertrail"

// firstTokenBuckets are the histogram bounds in seconds. The objective is 5 ms at
// p99, so the bounds are densest below it.
var firstTokenBuckets = []float64{.0001, .00025, .0005, .001, .002, .003, .004, .005, .0075, .01, .025, .05, .1, .25, .5, 1, 2.5}

// Metrics holds the metrics of one daemon in a separate registry. Series of closed
// label sets, whose label values are all known in advance, exist from the start with
// value 0.
type Metrics struct {
	registry           *prometheus.Registry
	refusals           *prometheus.CounterVec
	retries            *prometheus.CounterVec
	requests           *prometheus.CounterVec
	tokens             *prometheus.CounterVec
	firstTokenAdded    prometheus.Histogram
	openStreams        prometheus.Gauge
	commits            *prometheus.CounterVec
	repairs            *prometheus.CounterVec
	bundleVersion      prometheus.Gauge
	bundleUnconfirmed  prometheus.Gauge
	pendingSettlements prometheus.Gauge
}

// NewMetrics returns Metrics with the series of all closed label sets at 0.
func NewMetrics() *Metrics {
	m := &Metrics{
		registry:           prometheus.NewRegistry(),
		refusals:           newCounterVec("refusals_total", "Requests refused, by reason and verdict.", "reason", "verdict"),
		retries:            newCounterVec("retries_total", "Further attempts of requests, by the reason that ended the attempt before.", "reason"),
		requests:           newCounterVec("requests_total", "Requests, by service and outcome.", "service", "outcome"),
		tokens:             newCounterVec("tokens_billed_total", "Tokens reported in final settlements, by service.", "service"),
		firstTokenAdded:    newHistogram("first_token_added_seconds", "Time to the first token that was not spent waiting for a target.", firstTokenBuckets),
		openStreams:        newGauge("open_streams", "Streams being relayed to callers."),
		commits:            newCounterVec("commits_total", "Table transactions, by outcome.", "outcome"),
		repairs:            newCounterVec("repairs_total", "Repairs, by kind.", "kind"),
		bundleVersion:      newGauge("bundle_version", "Version of the bundle in force, 0 before the first."),
		bundleUnconfirmed:  newGauge("bundle_unconfirmed_seconds", "Time since the bundle was last known to be the newest."),
		pendingSettlements: newGauge("pending_settlements", "Settlements that are not yet known to be durable."),
	}
	m.register()
	m.createClosedLabelSets()
	return m
}

// register adds all collectors to the registry.
func (m *Metrics) register() {
	m.registry.MustRegister(
		m.refusals, m.retries, m.requests, m.tokens, m.firstTokenAdded, m.openStreams,
		m.commits, m.repairs, m.bundleVersion, m.bundleUnconfirmed, m.pendingSettlements,
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
}

// createClosedLabelSets creates the counters of the closed label sets with value 0.
func (m *Metrics) createClosedLabelSets() {
	for _, r := range verdict.Reasons() {
		m.retries.WithLabelValues(string(r))
		for _, v := range verdicts() {
			m.refusals.WithLabelValues(string(r), string(v))
		}
	}
	for _, o := range commitOutcomes() {
		m.commits.WithLabelValues(string(o))
	}
	for _, k := range repairKinds() {
		m.repairs.WithLabelValues(string(k))
	}
}

// SetServices creates the counters of the services of a bundle with value 0.
func (m *Metrics) SetServices(names []string) {
	for _, name := range names {
		m.tokens.WithLabelValues(name)
		for _, o := range outcomes() {
			m.requests.WithLabelValues(name, string(o))
		}
	}
}

// Registry returns the registry, to which other collectors can be added.
func (m *Metrics) Registry() *prometheus.Registry { return m.registry }

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Refused counts a refusal sent to a caller.
func (m *Metrics) Refused(e *verdict.Error) {
	m.refusals.WithLabelValues(string(e.Reason), string(e.Verdict)).Inc()
}

// Retried counts a further attempt, by the reason that ended the previous one.
func (m *Metrics) Retried(r verdict.Reason) { m.retries.WithLabelValues(string(r)).Inc() }

// Finished counts a finished request of a service.
func (m *Metrics) Finished(service string, o Outcome) {
	m.requests.WithLabelValues(service, string(o)).Inc()
}

// Billed counts the tokens of a final settlement.
func (m *Metrics) Billed(service string, tokens int64) {
	m.tokens.WithLabelValues(service).Add(float64(tokens))
}

// FirstToken records the latency that the daemon added to the first token of a stream.
func (m *Metrics) FirstToken(added time.Duration) { m.firstTokenAdded.Observe(added.Seconds()) }

// StreamOpened increments the number of open streams.
func (m *Metrics) StreamOpened() { m.openStreams.Inc() }

// StreamClosed decrements the number of open streams.
func (m *Metrics) StreamClosed() { m.openStreams.Dec() }

// Committed counts a table transaction.
func (m *Metrics) Committed(o CommitOutcome) { m.commits.WithLabelValues(string(o)).Inc() }

// AddCommitted counts n table transactions.
func (m *Metrics) AddCommitted(o CommitOutcome, n uint64) {
	m.commits.WithLabelValues(string(o)).Add(float64(n))
}

// Repaired counts a repair.
func (m *Metrics) Repaired(k RepairKind) { m.repairs.WithLabelValues(string(k)).Inc() }

// SetBundle records the bundle version in force and the time since the bundle was last
// known to be the newest.
func (m *Metrics) SetBundle(version uint64, unconfirmed time.Duration) {
	m.bundleVersion.Set(float64(version))
	m.bundleUnconfirmed.Set(unconfirmed.Seconds())
}

// SetPendingSettlements records the number of settlements that are not yet known to
// be durable.
func (m *Metrics) SetPendingSettlements(n int) { m.pendingSettlements.Set(float64(n)) }

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func newGauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
}

func newHistogram(name, help string, buckets []float64) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets})
}
