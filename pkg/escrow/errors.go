package escrow

import (
	"errors"
	"fmt"
	"time"
)

// Errors of a reservation.
var (
	// ErrExhausted means that the rest of the budget does not cover the
	// reservation.
	ErrExhausted = errors.New("budget exhausted")
	// ErrUnreachable means that this host holds too few tokens, and that
	// either the table does not answer or other hosts hold the rest.
	ErrUnreachable = errors.New("budget unreachable")
)

// UnreachableError is an ErrUnreachable with the time after which a
// reservation may succeed.
type UnreachableError struct {
	Reason     string        // why the reservation was refused
	RetryAfter time.Duration // 0: unknown
	// Late means that the table or another host has not answered in time. Otherwise the
	// reason holds whatever the links of this host carry.
	Late bool
}

// Error implements error.
func (e *UnreachableError) Error() string { return fmt.Sprintf("%v: %s", ErrUnreachable, e.Reason) }

// Unwrap returns ErrUnreachable.
func (e *UnreachableError) Unwrap() error { return ErrUnreachable }
