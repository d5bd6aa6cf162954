package claim

import "time"

// State is how far a request has come, as its home knows it.
type State string

// States of a request.
const (
	Claiming State = "claiming" // its durable claim is being written
	Running  State = "running"  // dispatched under Stream
	Finished State = "finished" // a target completed it
	Failed   State = "failed"   // the last attempt failed and may have run
	Released State = "released" // no attempt reached a target
)

// Entry is what the home knows of one request.
type Entry struct {
	Customer      string
	Request       string
	Fingerprint   string
	Daemon        string // incarnation of the entry daemon of the last attempt
	Target        string
	Stream        string
	NonIdempotent bool
	State         State
	ClaimVersion  uint64 // version of the claim row, 0 if none is written
	Updated       time.Time
}

func (e *Entry) key() string {
	return entryKey(e.Customer, e.Request)
}

func entryKey(customer, request string) string {
	return customer + "\x00" + request
}
