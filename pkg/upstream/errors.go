package upstream

import (
	"errors"
	"fmt"
)

// Causes of failures before a request is sent.
var (
	ErrDial       = errors.New("connection not established")
	ErrConnLimit  = errors.New("connection limit of the target reached")
	ErrBadMessage = errors.New("target sent bytes that are no answer")
)

// SendError is a failure of one attempt.
type SendError struct {
	Sent bool // bytes of the request may have reached the target
	Err  error
}

// Error implements error.
func (e *SendError) Error() string {
	if e.Sent {
		return fmt.Sprintf("sent without an answer: %v", e.Err)
	}
	return fmt.Sprintf("not sent: %v", e.Err)
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// MayHaveRun reports whether the target may have received the request. An
// error of another type may have any cause, so that it returns true.
func MayHaveRun(err error) bool {
	var e *SendError
	return !errors.As(err, &e) || e.Sent
}
