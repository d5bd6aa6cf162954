package engine

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// metricsHandler serves the result of report in the Prometheus text format.
func metricsHandler(report func() Report) http.Handler {
	registry := prometheus.NewRegistry()
	gauge := func(name, help string, value func(Report) float64) {
		options := prometheus.GaugeOpts{Name: name, Help: help}
		registry.MustRegister(prometheus.NewGaugeFunc(options, func() float64 { return value(report()) }))
	}
	gauge("num_requests_running", "Streams that hold a slot.", func(r Report) float64 { return float64(r.SlotsBusy) })
	gauge("num_requests_waiting", "Streams that wait for a slot.", func(r Report) float64 { return float64(r.QueueDepth) })
	gauge("max_num_seqs", "Streams that can run at once.", func(r Report) float64 { return float64(r.SlotsTotal) })
	gauge("kv_cache_usage_perc", "Share of the KV cache in use, 0 to 1.", func(r Report) float64 { return r.KVUsed })
	gauge("engine_draining", "1 while the engine refuses new streams.", func(r Report) float64 {
		if r.State == Serving {
			return 0
		}
		return 1
	})
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
}
