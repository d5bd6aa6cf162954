package target

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// States in the JSON report of a plain service.
const (
	serviceOK       = "ok"
	serviceDraining = "draining"
)

// ServiceAdapter reads the reports of plain services that report JSON at
// /status.
type ServiceAdapter struct {
	client *http.Client
}

// NewServiceAdapter returns an adapter that uses client.
func NewServiceAdapter(client *http.Client) *ServiceAdapter {
	return &ServiceAdapter{client: client}
}

// Report implements Adapter.
func (a *ServiceAdapter) Report(ctx context.Context, t Target) (Snapshot, error) {
	body, err := fetch(ctx, a.client, t.Addr, "/status")
	if err != nil {
		return Snapshot{}, err
	}
	return parseService(body, time.Now())
}

// serviceReport is the decoded report. Pointers distinguish absent fields from
// zero.
type serviceReport struct {
	Status   string `json:"status"`
	Inflight *int   `json:"inflight"`
	Capacity *int   `json:"capacity"`
}

// parseService converts a report that was received at now. Calls in flight
// beyond the capacity count as waiting.
func parseService(body []byte, now time.Time) (Snapshot, error) {
	var r serviceReport
	if err := json.Unmarshal(body, &r); err != nil {
		return Snapshot{}, fmt.Errorf("%w: %w", ErrMalformedReport, err)
	}
	if r.Status != serviceOK && r.Status != serviceDraining {
		return Snapshot{}, fmt.Errorf("%w: unknown status %q", ErrMalformedReport, r.Status)
	}
	if r.Inflight == nil || r.Capacity == nil {
		return Snapshot{}, fmt.Errorf("%w: inflight or capacity is missing", ErrMalformedReport)
	}
	s := Snapshot{
		Running:    min(*r.Inflight, *r.Capacity),
		Waiting:    max(0, *r.Inflight-*r.Capacity),
		Capacity:   *r.Capacity,
		Draining:   r.Status == serviceDraining,
		ReportedAt: now,
	}
	if err := checkSnapshot(s); err != nil {
		return Snapshot{}, err
	}
	return s, nil
}
