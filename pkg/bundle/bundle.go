// Package bundle defines the versioned configuration of the fleet: its schema,
// its validation, its signatures and how a new version comes into force.
package bundle

import (
	"github.com/peppertrail/peppertrail/pkg/target"
)

// StalePolicy defines how a daemon handles requests while it cannot confirm
// that its bundle is the newest.
type StalePolicy string

// Policies for an unconfirmed bundle.
const (
	ServeStale  StalePolicy = "serve"  // keep serving with the newest known version, without a time limit
	RefuseStale StalePolicy = "refuse" // refuse new requests once the bundle is unconfirmed for StaleBundleSeconds
)

// Bundle is one version of the configuration.
type Bundle struct {
	Version            uint64      `json:"version"`              // Base plus 1; a submitted bundle may leave it at 0
	Base               uint64      `json:"base"`                 // version that the author edited
	Operators          []Operator  `json:"operators"`            // operators who may submit and sign off the next version
	RequiredSignoffs   int         `json:"required_signoffs"`    // number of distinct operators who must sign the next version, including its author
	Customers          []Customer  `json:"customers"`            // organisations with their API keys and limits
	Services           []Service   `json:"services"`             // services that targets can provide
	StaleBundle        StalePolicy `json:"stale_bundle"`         // default ServeStale
	StaleBundleSeconds int         `json:"stale_bundle_seconds"` // time limit in seconds, used with RefuseStale
}

// Operator is an identity that may submit and sign off bundles and change budgets.
type Operator struct {
	Name      string `json:"name"`
	PublicKey string `json:"public_key"` // Ed25519, base64
}

// Customer is an organisation that owns budgets and API keys.
type Customer struct {
	ID           string   `json:"id"`
	KeyHashes    []string `json:"key_hashes"`          // SHA-256 of API keys, hex
	Services     []string `json:"services"`            // names of the services that the customer may call
	Budget       string   `json:"budget"`              // id of the budget that requests use by default
	Budgets      []string `json:"budgets,omitempty"`   // ids of further budgets that a request may name
	MaxPriority  int      `json:"max_priority"`        // upper limit of a request's priority, 0 to 9
	CoverSeconds int      `json:"grant_cover_seconds"` // seconds of traffic that a grant should cover
	MinTokens    int64    `json:"grant_min_tokens"`    // smallest grant to request, in tokens
	MaxShare     float64  `json:"grant_max_share"`     // largest share of the free budget, 0 to 1, for a grant above grant_min_tokens
}

// Service is a group of interchangeable targets.
type Service struct {
	Name          string      `json:"name"`
	Model         string      `json:"model,omitempty"`    // model name that callers use; engines only
	Kind          target.Kind `json:"kind"`               // protocol adapter of the targets
	Fenced        bool        `json:"fenced"`             // the targets refuse requests with an outdated fencing number
	NonIdempotent []string    `json:"non_idempotent"`     // path prefixes whose calls run at most once; "*" stands for all paths
	MaxOutput     int64       `json:"max_output"`         // upper limit and default of the output of one request, in tokens
	CallCost      int64       `json:"call_cost"`          // tokens charged per call of a plain service
	SlowStart     int         `json:"slow_start_seconds"` // duration of the slow start, in seconds
}
