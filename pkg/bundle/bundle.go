// Package bundle defines the versioned configuration of the fleet: its form,
// its checks, its signatures and how a new version comes into force.
package bundle

import (
	"github.com/peppertrail/peppertrail/pkg/target"
)

// StalePolicy says what a daemon does that cannot confirm that its bundle is the newest.
type StalePolicy string

// Policies for an unconfirmed bundle.
const (
	ServeStale  StalePolicy = "serve"  // keep serving with the newest known version
	RefuseStale StalePolicy = "refuse" // refuse new requests after StaleBundleSeconds
)

// Bundle is one version of the configuration.
type Bundle struct {
	Version            uint64      `json:"version"`              // set on acceptance, base version plus 1
	Base               uint64      `json:"base"`                 // version that the author started from
	Operators          []Operator  `json:"operators"`            // who may submit and sign off the next version
	RequiredSignoffs   int         `json:"required_signoffs"`    // distinct operators, the author included
	Customers          []Customer  `json:"customers"`            // callers and their limits
	Services           []Service   `json:"services"`             // what targets can serve
	StaleBundle        StalePolicy `json:"stale_bundle"`         // default serve
	StaleBundleSeconds int         `json:"stale_bundle_seconds"` // used with refuse
}

// Operator may submit and sign off bundles and change budgets.
type Operator struct {
	Name      string `json:"name"`
	PublicKey string `json:"public_key"` // Ed25519, base64
}

// Customer owns budgets and API keys.
type Customer struct {
	ID           string   `json:"id"`
	KeyHashes    []string `json:"key_hashes"`          // SHA-256 of API keys, hex
	Services     []string `json:"services"`            // services that it may call
	Budget       string   `json:"budget"`              // default budget
	Budgets      []string `json:"budgets,omitempty"`   // further budgets that it may name
	MaxPriority  int      `json:"max_priority"`        // 0 to 9; a request's priority is capped here
	CoverSeconds int      `json:"grant_cover_seconds"` // traffic that a grant should cover
	MinTokens    int64    `json:"grant_min_tokens"`    // smallest grant asked for
	MaxShare     float64  `json:"grant_max_share"`     // largest share of the free budget in one grant above grant_min_tokens, 0 to 1
}

// Service is a group of interchangeable targets.
type Service struct {
	Name          string      `json:"name"`
	Model         string      `json:"model,omitempty"` // name callers use; engines only
	Kind          target.Kind `json:"kind"`            // adapter of its targets
	Fenced        bool        `json:"fenced"`          // its targets refuse old fencing numbers
	NonIdempotent []string    `json:"non_idempotent"`  // path prefixes whose calls run at most once; "*" means all
	MaxOutput     int64       `json:"max_output"`      // tokens, upper limit and default of a request's output
	CallCost      int64       `json:"call_cost"`       // tokens charged per call of a plain service
	SlowStart     int         `json:"slow_start_seconds"`
}
