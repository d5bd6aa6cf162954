// Package claim decides about request identity: which requests run, which have
// finished, which may not run again and which crash their targets.
//
// It does no I/O. Table rows, time and messages are its inputs.
package claim

// Record is the durable claim of a non-idempotent request, at key Key. It is
// written before dispatch and never rewritten for a second run.
type Record struct {
	Customer    string `json:"customer"`
	Request     string `json:"request"`
	Fingerprint string `json:"fingerprint"`
	Entry       string `json:"entry"`  // incarnation of the daemon that dispatched it
	Target      string `json:"target"` // target id
	Stream      string `json:"stream"`
	ClaimedAt   int64  `json:"claimed_at"` // Unix time, milliseconds
}

// Key returns the table key of a claim.
func Key(customer, request string) string { return "claim/" + customer + "/" + request }

// CrashRecord counts the targets that died under one request, at key CrashKey.
type CrashRecord struct {
	Fingerprint string   `json:"fingerprint"`
	Targets     []string `json:"targets"`
	LastSeen    int64    `json:"last_seen"` // Unix time, milliseconds
}

// CrashKey returns the table key of the crash record of a request fingerprint.
func CrashKey(fingerprint string) string { return "crash/" + fingerprint }
