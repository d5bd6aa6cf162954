package claim

import "time"

// State is the state of a request in the registry.
type State string

// States of a request.
const (
	Claiming State = "claiming" // the durable claim is being written
	Running  State = "running"  // an attempt was dispatched under Entry.Stream
	Finished State = "finished" // a target completed it
	Failed   State = "failed"   // the last attempt failed, but may have run
	Released State = "released" // no attempt reached a target
)

// Entry is the registry entry of one request.
type Entry struct {
	Customer      string
	Request       string
	Fingerprint   string // fingerprint of the request, as in Attempt
	Daemon        string // incarnation of the entry daemon of the last attempt
	Target        string // id of the target of the last attempt
	Stream        string // stream id of the last attempt
	NonIdempotent bool
	State         State
	ClaimVersion  uint64    // version of the claim row, 0 if none is written
	Updated       time.Time // when State was last set
}

func (e *Entry) key() string {
	return entryKey(e.Customer, e.Request)
}

func entryKey(customer, request string) string {
	return customer + "\x00" + request
}
