// Package claim tracks requests by customer and request id. It decides whether
// an attempt may run, is attached to an existing stream, or is refused because
// the request may not run again or because it crashes its targets.
//
// It does no I/O. Its inputs are table rows, times and messages.
package claim

// Record is the durable claim of a non-idempotent request, at key Key. It is
// written before dispatch and never rewritten for a second run.
type Record struct {
	Customer    string `json:"customer"`
	Request     string `json:"request"`
	Fingerprint string `json:"fingerprint"`
	Entry       string `json:"entry"`      // incarnation of the daemon that dispatched it
	Target      string `json:"target"`     // target id
	Stream      string `json:"stream"`     // stream id
	ClaimedAt   int64  `json:"claimed_at"` // Unix time, milliseconds
}

// Key returns the table key of a claim.
func Key(customer, request string) string { return "claim/" + customer + "/" + request }

// CrashRecord lists the targets that crashed while they ran requests with one
// fingerprint, at key CrashKey.
type CrashRecord struct {
	Fingerprint string   `json:"fingerprint"`
	Targets     []string `json:"targets"`
	LastSeen    int64    `json:"last_seen"` // Unix time, milliseconds
}

// CrashKey returns the table key of the crash record of a request fingerprint.
func CrashKey(fingerprint string) string { return "crash/" + fingerprint }
