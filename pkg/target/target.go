// Package target follows the targets: it reads each vendor's reports through
// an adapter, keeps one load snapshot per target and runs its life cycle.
package target

import "time"

// Kind names the adapter that reads a target's reports.
type Kind string

// Kinds of targets.
const (
	PromText   Kind = "promtext"   // engine that reports Prometheus text at /metrics
	JSONStatus Kind = "jsonstatus" // engine that reports JSON at /status
	Service    Kind = "service"    // plain service that reports JSON at /status
)

// Target is a back end: a model engine replica or a plain service replica.
type Target struct {
	ID            string `json:"id"`
	Addr          string `json:"addr"` // host:port
	Service       string `json:"service"`
	Kind          Kind   `json:"kind"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	Fenced        bool   `json:"fenced"` // the target refuses orders with an old fencing number
}

// State is the life cycle state of a target as one daemon sees it.
type State string

// States of a target.
const (
	Joining  State = "joining"  // takes a growing share of work
	Ready    State = "ready"    // takes work
	Suspect  State = "suspect"  // a connection failed; takes no new work until a report succeeds
	Draining State = "draining" // leaving; takes no new work
	Gone     State = "gone"     // forgotten at the next sweep
)

// Snapshot is the load of a target as last reported, in one form for all vendors.
type Snapshot struct {
	Running    int       `json:"running"`     // requests being served
	Waiting    int       `json:"waiting"`     // requests queued
	Capacity   int       `json:"capacity"`    // requests that can run at once
	CacheUsed  float64   `json:"cache_used"`  // share of the KV cache in use, 0 to 1
	Draining   bool      `json:"draining"`    // the target says that it is leaving
	ReportedAt time.Time `json:"reported_at"` // when this daemon received the report
}
