package service

import "time"

// Outcome is the state of a call in the journal.
type Outcome string

// Outcomes of a call.
const (
	Running   Outcome = "running"   // accepted, no response yet
	Completed Outcome = "completed" // ran to its end, even if the client had disconnected
)

// Record is one line of the journal. The journal file holds a record for the
// start and one for the end of each call.
type Record struct {
	Call    int        `json:"call"`   // number of the call, from 1
	Stream  string     `json:"stream"` // value of the X-Stream-Id header; a repeated call gets a second record
	Method  string     `json:"method"`
	Path    string     `json:"path"`   // path with the query
	Digest  string     `json:"digest"` // SHA-256 of the body in hexadecimal
	Started time.Time  `json:"started"`
	Ended   *time.Time `json:"ended,omitempty"`
	Outcome Outcome    `json:"outcome"`
}

// Echo is the response to a call.
type Echo struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Digest string `json:"digest"`
	Stream string `json:"stream"`
}
