package target

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// States in the JSON report of an engine.
const (
	jsonServing  = "SERVING"
	jsonDraining = "DRAINING"
	jsonLoading  = "LOADING"
)

// ErrLoading is returned when an engine responds but has not loaded its model
// yet.
var ErrLoading = errors.New("engine is loading its model")

// JSONStatusAdapter reads the reports of engines that report JSON at /status.
type JSONStatusAdapter struct {
	client *http.Client
}

// NewJSONStatusAdapter returns an adapter that uses client.
func NewJSONStatusAdapter(client *http.Client) *JSONStatusAdapter {
	return &JSONStatusAdapter{client: client}
}

// Report implements Adapter. It returns ErrLoading for an engine that is
// loading its model, since that engine cannot serve requests and has no load to
// report.
func (a *JSONStatusAdapter) Report(ctx context.Context, t Target) (Snapshot, error) {
	body, err := fetch(ctx, a.client, t.Addr, "/status")
	if err != nil {
		return Snapshot{}, err
	}
	return parseJSONStatus(body, time.Now())
}

// jsonStatusReport is the decoded report. Pointers distinguish absent fields
// from zero.
type jsonStatusReport struct {
	State      string   `json:"state"`
	SlotsTotal *int     `json:"slots_total"`
	SlotsBusy  *int     `json:"slots_busy"`
	QueueDepth *int     `json:"queue_depth"`
	KVUsed     *float64 `json:"kv_used"`
}

// parseJSONStatus converts a report that was received at now.
func parseJSONStatus(body []byte, now time.Time) (Snapshot, error) {
	var r jsonStatusReport
	if err := json.Unmarshal(body, &r); err != nil {
		return Snapshot{}, fmt.Errorf("%w: %w", ErrMalformedReport, err)
	}
	switch r.State {
	case jsonServing, jsonDraining:
	case jsonLoading:
		return Snapshot{}, ErrLoading
	default:
		return Snapshot{}, fmt.Errorf("%w: unknown state %q", ErrMalformedReport, r.State)
	}
	if r.SlotsTotal == nil || r.SlotsBusy == nil || r.QueueDepth == nil || r.KVUsed == nil {
		return Snapshot{}, fmt.Errorf("%w: slots_total, slots_busy, queue_depth or kv_used is missing", ErrMalformedReport)
	}
	s := Snapshot{
		Running:    *r.SlotsBusy,
		Waiting:    *r.QueueDepth,
		Capacity:   *r.SlotsTotal,
		CacheUsed:  *r.KVUsed,
		Draining:   r.State == jsonDraining,
		ReportedAt: now,
	}
	if err := checkSnapshot(s); err != nil {
		return Snapshot{}, err
	}
	return s, nil
}
