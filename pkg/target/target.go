// Package target tracks the targets: it reads their load reports through an
// adapter per report format, keeps the latest load snapshot of each target, and
// runs its life cycle.
package target

import "time"

// Kind selects the adapter that reads the reports of a target.
type Kind string

// Kinds of targets.
const (
	PromText   Kind = "promtext"   // engine that reports Prometheus text at /metrics
	JSONStatus Kind = "jsonstatus" // engine that reports JSON at /status
	Service    Kind = "service"    // plain service that reports JSON at /status
)

// Target is a backend: a model engine replica or a plain service replica.
type Target struct {
	ID            string `json:"id"`
	Addr          string `json:"addr"` // host:port
	Service       string `json:"service"`
	Kind          Kind   `json:"kind"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	Fenced        bool   `json:"fenced"` // the target refuses requests with an outdated fencing number
}

// State is the life cycle state of a target as one daemon has determined it.
type State string

// States of a target.
const (
	Joining  State = "joining"  // without a report, takes no work; then in slow start, takes a growing share of normal traffic
	Ready    State = "ready"    // takes work
	Suspect  State = "suspect"  // a connection or several reports failed; takes no new work until a report succeeds
	Draining State = "draining" // leaving; takes no new work
	Gone     State = "gone"     // reports failed for GoneAfter, or drained and unlisted; kept only while the membership list names it
)

// Snapshot is the load of a target as last reported, in the same form for all
// report formats.
type Snapshot struct {
	Running    int       `json:"running"`     // requests being served
	Waiting    int       `json:"waiting"`     // requests in the queue
	Capacity   int       `json:"capacity"`    // largest number of requests served at once
	CacheUsed  float64   `json:"cache_used"`  // share of the KV cache in use, 0 to 1
	Draining   bool      `json:"draining"`    // the target reports that it is leaving
	ReportedAt time.Time `json:"reported_at"` // when this daemon received the report
}
