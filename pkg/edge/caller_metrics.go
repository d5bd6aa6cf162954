package edge

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/peppertrail/peppertrail/pkg/callermem"
	"github.com/peppertrail/peppertrail/pkg/forward"
	"github.com/peppertrail/peppertrail/pkg/ingress"
)

// registerClientLimits registers the counters of what the limits for callers refuse.
func (m *metrics) registerClientLimits() {
	m.memoryRefusals = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "peppertrail_edge_caller_memory_refusals_total", Help: "Heads and bodies of requests that got no memory or lost it, by cause."}, []string{"cause"})
	m.closedConns = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "peppertrail_edge_caller_connections_closed_total", Help: "Connections of callers that were closed because of the limit of connections, by cause."}, []string{"cause"})
	m.abandoned = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "peppertrail_edge_unread_responses_abandoned_total", Help: "Responses that were abandoned because their callers did not read them, by what others needed of them."}, []string{"needed"})
	m.registry.MustRegister(m.memoryRefusals, m.closedConns, m.abandoned)
	for _, r := range forward.NeededResources() {
		m.abandoned.WithLabelValues(string(r))
	}
	for _, c := range ingress.CloseCauses() {
		m.closedConns.WithLabelValues(string(c))
	}
	for _, c := range callermem.Causes() {
		m.memoryRefusals.WithLabelValues(string(c))
	}
}

// countClosedConnection counts a connection that was closed because of the limit.
func (m *metrics) countClosedConnection(c ingress.CloseCause) {
	m.closedConns.WithLabelValues(string(c)).Inc()
}

// ResponseAbandoned implements forward.Observer.
func (m *metrics) ResponseAbandoned(needed forward.NeededResource) {
	m.abandoned.WithLabelValues(string(needed)).Inc()
}

// observeCallerMemory exports the memory held for callers.
func (m *metrics) observeCallerMemory(a *callermem.Account) {
	for _, k := range callermem.Kinds() {
		m.registry.MustRegister(prometheus.NewGaugeFunc(
			prometheus.GaugeOpts{Name: "peppertrail_edge_caller_memory_bytes", Help: "Memory held for callers, by what it is held for.", ConstLabels: prometheus.Labels{"kind": k.String()}},
			func() float64 { return float64(a.UsedBy(k)) },
		))
	}
	m.registry.MustRegister(prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Name: "peppertrail_edge_caller_memory_limit_bytes", Help: "Memory that heads and bodies of requests of callers may use together with all that is held for callers."},
		func() float64 { return float64(a.Cap()) },
	))
}
