package escrow

import (
	"errors"
	"fmt"
	"time"
)

// Reasons for which a reservation fails.
var (
	// ErrExhausted means that the rest of the budget does not cover the reservation.
	ErrExhausted = errors.New("budget exhausted")
	// ErrUnreachable means that this host holds too little and the table does
	// not answer, or that other hosts hold the rest.
	ErrUnreachable = errors.New("budget out of reach")
)

// UnreachableError is an ErrUnreachable with the time after which a reservation
// may succeed.
type UnreachableError struct {
	Reason     string
	RetryAfter time.Duration
}

// Error implements error.
func (e *UnreachableError) Error() string { return fmt.Sprintf("%v: %s", ErrUnreachable, e.Reason) }

// Unwrap returns ErrUnreachable.
func (e *UnreachableError) Unwrap() error { return ErrUnreachable }
