package ratelimit

import "strconv"

// Target identifies one start of a target.
type Target struct {
	ID   string `json:"id"`
	Born int64  `json:"born,omitempty"` // start of the target in Unix milliseconds; 0: unknown
}

// key returns the rendezvous key of the target.
func (t Target) key() string { return t.ID + "/" + strconv.FormatInt(t.Born, 10) }
