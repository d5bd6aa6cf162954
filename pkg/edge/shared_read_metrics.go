package edge

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/peppertrail/peppertrail/pkg/sharedread"
)

// sharedReadMetrics count what hosts pass on to each other of one table. It is a
// sharedread.Observer.
type sharedReadMetrics struct {
	prefix, rows string // of the names of the metrics; name of the rows in their help
	passedOn     prometheus.Counter
	fallbacks    *prometheus.CounterVec
}

func newSharedReadMetrics(registry prometheus.Registerer, prefix, rows string) sharedReadMetrics {
	m := sharedReadMetrics{
		prefix: prefix, rows: rows,
		passedOn:  prometheus.NewCounter(prometheus.CounterOpts{Name: prefix + "_rows_total", Help: "Changed " + rows + " passed on to other hosts."}),
		fallbacks: prometheus.NewCounterVec(prometheus.CounterOpts{Name: prefix + "_fallbacks_total", Help: "Readers of " + rows + " that were left, and reads of the store in their place, by cause."}, []string{"cause"}),
	}
	registry.MustRegister(m.passedOn, m.fallbacks)
	for _, c := range sharedread.Causes() {
		m.fallbacks.WithLabelValues(string(c))
	}
	return m
}

// PassedOn implements sharedread.Observer.
func (m sharedReadMetrics) PassedOn(rows int) { m.passedOn.Add(float64(rows)) }

// FellBack implements sharedread.Observer.
func (m sharedReadMetrics) FellBack(c sharedread.Cause) { m.fallbacks.WithLabelValues(string(c)).Inc() }

// observe exports how this host reads the rows, and their age.
func (m sharedReadMetrics) observe(registry prometheus.Registerer, rows *sharedread.Rows) {
	registry.MustRegister(prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Name: m.prefix + "_age_seconds", Help: "Time since the store has confirmed the " + m.rows + " that this host knows."},
		func() float64 { return rows.Age().Seconds() },
	))
	for _, mode := range sharedread.Modes() {
		registry.MustRegister(prometheus.NewGaugeFunc(
			prometheus.GaugeOpts{Name: m.prefix + "_mode", Help: "1 for the way in which this host reads the " + m.rows + ", 0 for the others.", ConstLabels: prometheus.Labels{"mode": string(mode)}},
			func() float64 {
				if rows.Mode() == mode {
					return 1
				}
				return 0
			},
		))
	}
}
