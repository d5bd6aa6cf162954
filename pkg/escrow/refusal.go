package escrow

import "errors"

// Reasons for which a reservation fails.
var (
	// ErrExhausted means that the rest of the budget does not cover the reservation.
	ErrExhausted = errors.New("budget exhausted")
	// ErrUnreachable means that this host holds too little and the table does
	// not answer, or that other hosts hold the rest.
	ErrUnreachable = errors.New("budget out of reach")
)
