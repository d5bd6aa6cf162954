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

// firstTokenBuckets are seconds. The target is 5 ms at p99, so most buckets lie below it.
var firstTokenBuckets = []float64{.0001, .00025, .0005, .001, .002, .003, .004, .005, .0075, .01, .025, .05, .1, .25, .5, 1, 2.5}

// Metrics holds the counters of one daemon in a registry of its own. All
// values of the closed label sets exist from the start with value 0.
type Metrics struct {
	registry          *prometheus.Registry
	refusals          *prometheus.CounterVec
	retries           *prometheus.CounterVec
	requests          *prometheus.CounterVec
	tokens            *prometheus.CounterVec
	firstTokenAdded   prometheus.Histogram
	openStreams       prometheus.Gauge
	commits           *prometheus.CounterVec
	repairs           *prometheus.CounterVec
	bundleVersion     prometheus.Gauge
	bundleUnconfirmed prometheus.Gauge
	pendingSettles    prometheus.Gauge
}

// NewMetrics returns metrics with every closed label value at 0.
func NewMetrics() *Metrics {
	m := &Metrics{
		registry:          prometheus.NewRegistry(),
		refusals:          counters("refusals_total", "Requests refused, by reason and verdict.", "reason", "verdict"),
		retries:           counters("retries_total", "Further attempts of requests, by the reason that ended the attempt before.", "reason"),
		requests:          counters("requests_total", "Requests, by service and outcome.", "service", "outcome"),
		tokens:            counters("tokens_billed_total", "Tokens reported in final settlements, by service.", "service"),
		firstTokenAdded:   histogram("first_token_added_seconds", "Time to the first token that was not spent waiting for a target.", firstTokenBuckets),
		openStreams:       gauge("open_streams", "Streams being relayed to callers."),
		commits:           counters("commits_total", "Table transactions, by outcome.", "outcome"),
		repairs:           counters("repairs_total", "Repairs, by kind.", "kind"),
		bundleVersion:     gauge("bundle_version", "Version of the bundle in force, 0 before the first."),
		bundleUnconfirmed: gauge("bundle_unconfirmed_seconds", "Time since the bundle was last known to be the newest."),
		pendingSettles:    gauge("pending_settlements", "Settlements that are not yet known to be durable."),
	}
	m.register()
	m.preset()
	return m
}

// register adds all collectors to the registry.
func (m *Metrics) register() {
	m.registry.MustRegister(
		m.refusals, m.retries, m.requests, m.tokens, m.firstTokenAdded, m.openStreams,
		m.commits, m.repairs, m.bundleVersion, m.bundleUnconfirmed, m.pendingSettles,
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
}

// preset creates the counters of the closed label sets.
func (m *Metrics) preset() {
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

// SetServices creates the counters of the services of a bundle.
func (m *Metrics) SetServices(names []string) {
	for _, name := range names {
		m.tokens.WithLabelValues(name)
		for _, o := range outcomes() {
			m.requests.WithLabelValues(name, string(o))
		}
	}
}

// Registry returns the registry, to which further collectors can be added.
func (m *Metrics) Registry() *prometheus.Registry { return m.registry }

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Refused counts a refusal that was sent to a caller.
func (m *Metrics) Refused(e *verdict.Error) {
	m.refusals.WithLabelValues(string(e.Reason), string(e.Verdict)).Inc()
}

// Retried counts a further attempt, by the reason that ended the one before.
func (m *Metrics) Retried(r verdict.Reason) { m.retries.WithLabelValues(string(r)).Inc() }

// Finished counts a request of a service.
func (m *Metrics) Finished(service string, o Outcome) {
	m.requests.WithLabelValues(service, string(o)).Inc()
}

// Billed counts the tokens of a final settlement.
func (m *Metrics) Billed(service string, tokens int64) {
	m.tokens.WithLabelValues(service).Add(float64(tokens))
}

// FirstToken records the latency that the daemon added to a first token.
func (m *Metrics) FirstToken(added time.Duration) { m.firstTokenAdded.Observe(added.Seconds()) }

// StreamOpened counts a stream as open until StreamClosed.
func (m *Metrics) StreamOpened() { m.openStreams.Inc() }

// StreamClosed ends what StreamOpened counted.
func (m *Metrics) StreamClosed() { m.openStreams.Dec() }

// Committed counts a table transaction.
func (m *Metrics) Committed(o CommitOutcome) { m.commits.WithLabelValues(string(o)).Inc() }

// CommittedBy counts n table transactions.
func (m *Metrics) CommittedBy(o CommitOutcome, n uint64) {
	m.commits.WithLabelValues(string(o)).Add(float64(n))
}

// Repaired counts a repair.
func (m *Metrics) Repaired(k RepairKind) { m.repairs.WithLabelValues(string(k)).Inc() }

// SetBundle records the version in force and the time since it was last confirmed.
func (m *Metrics) SetBundle(version uint64, unconfirmed time.Duration) {
	m.bundleVersion.Set(float64(version))
	m.bundleUnconfirmed.Set(unconfirmed.Seconds())
}

// SetPendingSettlements records the settlements that wait to become durable.
func (m *Metrics) SetPendingSettlements(n int) { m.pendingSettles.Set(float64(n)) }

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
}

func histogram(name, help string, buckets []float64) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets})
}
