package admin

import "time"

// Call describes one finished operator call.
type Call struct {
	Operator string // empty if the signature was refused
	Method   string
	Path     string
	Status   int
	Err      error // nil on success
	Duration time.Duration
}
