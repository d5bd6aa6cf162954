package balance

import (
	"fmt"
	"time"
)

// WaitError is an ErrNoTarget for a service of which targets will take requests again: those
// that have asked this host for a pause, and those that have got as many requests as they take.
type WaitError struct {
	Service     string
	Wait        time.Duration // until the first of these targets takes requests again
	RateLimited bool          // that target has got as many requests as it takes
}

// Error implements error.
func (e *WaitError) Error() string {
	return fmt.Sprintf("%v: a target of %s takes requests again in %v", ErrNoTarget, e.Service, e.Wait)
}

// Unwrap returns ErrNoTarget.
func (e *WaitError) Unwrap() error { return ErrNoTarget }
