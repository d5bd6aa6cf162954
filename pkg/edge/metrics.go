package edge

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/peppertrail/peppertrail/pkg/escrow"
	"github.com/peppertrail/peppertrail/pkg/forward"
	"github.com/peppertrail/peppertrail/pkg/ratelimit"
	"github.com/peppertrail/peppertrail/pkg/upstream"
)

// latencyBucketsSeconds are the upper bounds of the latency histograms.
var latencyBucketsSeconds = []float64{.05, .1, .15, .2, .3, .45, .6, 1, 2, 5, 10}

// metrics holds the Prometheus metrics of one daemon. It implements
// forward.Observer.
type metrics struct {
	registry        *prometheus.Registry
	refusals        *prometheus.CounterVec
	retries         *prometheus.CounterVec
	responses       *prometheus.CounterVec
	timeToFirstByte *prometheus.HistogramVec
	responseTime    *prometheus.HistogramVec
	streams         *prometheus.CounterVec
	dials           prometheus.Counter
	writtenOff      *prometheus.CounterVec
	permits         *prometheus.CounterVec
	storeReturns    prometheus.Counter
	closedListeners prometheus.Counter
	memoryRefusals  *prometheus.CounterVec
	closedConns     *prometheus.CounterVec
	abandoned       *prometheus.CounterVec
	// sharedTargetMetrics and sharedHostMetrics count what hosts pass on to each other.
	sharedTargetMetrics sharedReadMetrics
	sharedHostMetrics   sharedReadMetrics
}

func newMetrics() *metrics {
	m := &metrics{
		registry:        prometheus.NewRegistry(),
		refusals:        prometheus.NewCounterVec(prometheus.CounterOpts{Name: "peppertrail_edge_refusals_total", Help: "Requests that no target answered, by reason and status."}, []string{"reason", "status"}),
		retries:         prometheus.NewCounterVec(prometheus.CounterOpts{Name: "peppertrail_edge_retries_total", Help: "Further attempts, by the reason that ended the attempt before."}, []string{"reason"}),
		responses:       prometheus.NewCounterVec(prometheus.CounterOpts{Name: "peppertrail_edge_answers_total", Help: "Answers of targets, by service and status."}, []string{"service", "status"}),
		timeToFirstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "peppertrail_edge_first_byte_seconds", Help: "Time from the request to the first byte for the caller.", Buckets: latencyBucketsSeconds}, []string{"service"}),
		responseTime:    prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "peppertrail_edge_answer_seconds", Help: "Time from the request to the end of the answer.", Buckets: latencyBucketsSeconds}, []string{"service"}),
		streams:         prometheus.NewCounterVec(prometheus.CounterOpts{Name: "peppertrail_edge_target_streams_total", Help: "Event streams of targets, by what marks the end of the body and how they ended."}, []string{"framing", "end"}),
		dials:           prometheus.NewCounter(prometheus.CounterOpts{Name: "peppertrail_edge_target_connections_total", Help: "Connections opened to targets."}),
	}
	m.writtenOff = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "peppertrail_edge_budget_written_off_tokens_total", Help: "Tokens counted as spent by ended processes beyond their last reports, by what allowed the processes to spend them."}, []string{"cause"})
	m.permits = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "peppertrail_edge_permits_total", Help: "Permits that this host has asked for, to send a request to a target with a rate limit, by result."}, []string{"result"})
	m.storeReturns = prometheus.NewCounter(prometheus.CounterOpts{Name: "peppertrail_edge_store_returns_total", Help: "Returns of the store from an older copy that this host has noticed."})
	m.closedListeners = prometheus.NewCounter(prometheus.CounterOpts{Name: "peppertrail_edge_listener_closed_total", Help: "Times that new connections of callers were refused because the link of the host was busy."})
	m.registry.MustRegister(m.closedListeners, m.storeReturns, m.refusals, m.retries, m.responses, m.timeToFirstByte, m.responseTime, m.streams, m.dials, m.writtenOff, m.permits, collectors.NewGoCollector())
	m.registerClientLimits()
	m.sharedTargetMetrics = newSharedReadMetrics(m.registry, "peppertrail_edge_shared_read", "target registrations")
	m.sharedHostMetrics = newSharedReadMetrics(m.registry, "peppertrail_edge_shared_host_read", "host rows")
	for _, r := range ratelimit.Results() {
		m.permits.WithLabelValues(string(r))
	}
	for _, r := range forward.Reasons() {
		m.retries.WithLabelValues(string(r))
	}
	return m
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// observeBlocked exports the number of parts of prompts and of requests that are blocked.
func (m *metrics) observeBlocked(parts, requests func() int) {
	m.registry.MustRegister(
		prometheus.NewGaugeFunc(
			prometheus.GaugeOpts{Name: "peppertrail_edge_blocked_prompt_parts", Help: "Parts of prompts that crash targets, whose requests are refused."},
			func() float64 { return float64(parts()) },
		),
		prometheus.NewGaugeFunc(
			prometheus.GaugeOpts{Name: "peppertrail_edge_blocked_requests", Help: "Requests that crash targets and are refused."},
			func() float64 { return float64(requests()) },
		),
	)
}

// observeLimitedTargets exports the number of targets that name a rate limit.
func (m *metrics) observeLimitedTargets(count func() int) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Name: "peppertrail_edge_limited_targets", Help: "Targets that name a limit of the requests that they take."},
		func() float64 { return float64(count()) },
	))
}

// observeConfigurationLag exports for how long another host has had a newer configuration.
func (m *metrics) observeConfigurationLag(behind func() time.Duration) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Name: "peppertrail_edge_configuration_behind_seconds", Help: "Time for which this host has known that another host has a newer configuration; 0: none has."},
		func() float64 { return behind().Seconds() },
	))
}

// observeLink exports the use and the rate of the host's link.
func (m *metrics) observeLink(use, mbps func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Name: "peppertrail_edge_link_use_ratio", Help: "Share of the link's rate that requests use, in the busier direction; 0 if the rate is not known."},
		use,
	), prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Name: "peppertrail_edge_link_mbps", Help: "Rate of the host's link that it works with: that of the settings, or less if it is found to be slower; 0 if it is not known."},
		mbps,
	))
}

// observeLostPaths exports the number of services of which no target can be reached.
func (m *metrics) observeLostPaths(count func() int) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Name: "peppertrail_edge_lost_paths", Help: "Services to whose targets this host has no path."},
		func() float64 { return float64(count()) },
	))
}

// countPermit counts an answer to a request for a permit.
func (m *metrics) countPermit(r ratelimit.Result) { m.permits.WithLabelValues(string(r)).Inc() }

// countDial counts an attempt to open a connection to a target.
func (m *metrics) countDial() { m.dials.Inc() }

// countWrittenOff counts tokens that are counted as spent by ended processes.
func (m *metrics) countWrittenOff(cause escrow.WriteOffCause, tokens int64) {
	m.writtenOff.WithLabelValues(string(cause)).Add(float64(tokens))
}

// Refused implements forward.Observer.
func (m *metrics) Refused(r forward.Reason, status int) {
	m.refusals.WithLabelValues(string(r), strconv.Itoa(status)).Inc()
}

// Retried implements forward.Observer.
func (m *metrics) Retried(r forward.Reason) { m.retries.WithLabelValues(string(r)).Inc() }

// Answered implements forward.Observer.
func (m *metrics) Answered(service string, status int, timeToFirstByte, responseTime time.Duration) {
	m.responses.WithLabelValues(service, strconv.Itoa(status)).Inc()
	m.timeToFirstByte.WithLabelValues(service).Observe(timeToFirstByte.Seconds())
	m.responseTime.WithLabelValues(service).Observe(responseTime.Seconds())
}

// StreamEnded implements forward.Observer.
func (m *metrics) StreamEnded(framing upstream.Framing, end forward.StreamEnd) {
	m.streams.WithLabelValues(string(framing), string(end)).Inc()
}
