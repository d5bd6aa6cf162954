package target

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"net/http"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// Gauges in the Prometheus text report of an engine.
const (
	gaugeRunning  = "num_requests_running"
	gaugeWaiting  = "num_requests_waiting"
	gaugeCapacity = "max_num_seqs"
	gaugeCache    = "kv_cache_usage_perc" // a share from 0 to 1, although the name says percent
	gaugeDraining = "engine_draining"     // 0 or 1; optional, absent means 0
)

// PromTextAdapter reads the reports of engines that report Prometheus text at
// /metrics.
type PromTextAdapter struct {
	client *http.Client
}

// NewPromTextAdapter returns an adapter that uses client.
func NewPromTextAdapter(client *http.Client) *PromTextAdapter {
	return &PromTextAdapter{client: client}
}

// Report implements Adapter.
func (a *PromTextAdapter) Report(ctx context.Context, t Target) (Snapshot, error) {
	body, err := fetch(ctx, a.client, t.Addr, "/metrics")
	if err != nil {
		return Snapshot{}, err
	}
	return parsePromText(body, time.Now())
}

// parsePromText converts a Prometheus text report that was received at now.
func parsePromText(body []byte, now time.Time) (Snapshot, error) {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(body))
	if err != nil {
		return Snapshot{}, fmt.Errorf("%w: %w", ErrMalformedReport, err)
	}
	values := make(map[string]float64, len(promGauges))
	for _, gauge := range promGauges {
		family, ok := families[gauge.name]
		if !ok && gauge.optional {
			continue
		}
		// The parser returns a family without samples if only its TYPE line is present.
		if len(family.GetMetric()) != 1 {
			return Snapshot{}, fmt.Errorf("%w: %d samples of %s, want 1", ErrMalformedReport, len(family.GetMetric()), gauge.name)
		}
		metric := family.GetMetric()[0]
		value := metric.GetGauge().GetValue()
		if metric.GetGauge() == nil {
			value = metric.GetUntyped().GetValue()
		}
		if metric.GetGauge() == nil && metric.GetUntyped() == nil {
			return Snapshot{}, fmt.Errorf("%w: %s is neither a gauge nor untyped", ErrMalformedReport, gauge.name)
		}
		values[gauge.name] = value
	}
	return promSnapshot(values, now)
}

// promGauge is a gauge that the adapter reads.
type promGauge struct {
	name     string
	optional bool
}

var promGauges = []promGauge{
	{name: gaugeRunning},
	{name: gaugeWaiting},
	{name: gaugeCapacity},
	{name: gaugeCache},
	{name: gaugeDraining, optional: true},
}

// promSnapshot converts the gauges of a report that was received at now.
func promSnapshot(values map[string]float64, now time.Time) (Snapshot, error) {
	var s Snapshot
	var err error
	if s.Running, err = countFromGauge(gaugeRunning, values[gaugeRunning]); err != nil {
		return Snapshot{}, err
	}
	if s.Waiting, err = countFromGauge(gaugeWaiting, values[gaugeWaiting]); err != nil {
		return Snapshot{}, err
	}
	if s.Capacity, err = countFromGauge(gaugeCapacity, values[gaugeCapacity]); err != nil {
		return Snapshot{}, err
	}
	draining, err := countFromGauge(gaugeDraining, values[gaugeDraining])
	if err != nil || draining > 1 {
		return Snapshot{}, fmt.Errorf("%w: %s is %v, want 0 or 1", ErrMalformedReport, gaugeDraining, values[gaugeDraining])
	}
	s.Draining = draining == 1
	s.CacheUsed = values[gaugeCache]
	s.ReportedAt = now
	if err := checkSnapshot(s); err != nil {
		return Snapshot{}, err
	}
	return s, nil
}

// countFromGauge converts the value of a gauge to a count. It returns an error
// that wraps ErrMalformedReport for NaN, infinities, fractions and values out
// of range.
func countFromGauge(name string, v float64) (int, error) {
	if !(v >= 0 && v <= maxReportedCount) || v != math.Trunc(v) {
		return 0, fmt.Errorf("%w: %s is %v, not a whole number in the accepted range", ErrMalformedReport, name, v)
	}
	return int(v), nil
}
