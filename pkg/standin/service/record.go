package service

import "time"

// Outcome is the state of a call in the journal.
type Outcome string

// Outcomes of a call.
const (
	Running   Outcome = "running"   // accepted, not yet answered
	Completed Outcome = "completed" // ran to its end, whether or not the client was still there
)

// Record is one line of the journal. The journal file holds a record for the
// start and one for the end of each call.
type Record struct {
	Call    int        `json:"call"`   // number of the call, from 1
	Stream  string     `json:"stream"` // X-Stream-Id; a repeated one makes a second record
	Method  string     `json:"method"`
	Path    string     `json:"path"`   // with the query
	Digest  string     `json:"digest"` // SHA-256 of the body in hexadecimal
	Started time.Time  `json:"started"`
	Ended   *time.Time `json:"ended,omitempty"`
	Outcome Outcome    `json:"outcome"`
}

// Echo is the answer to a call.
type Echo struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Digest string `json:"digest"`
	Stream string `json:"stream"`
}
