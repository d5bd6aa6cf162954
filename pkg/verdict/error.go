package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Error is a refusal. It is sent between daemons and to callers as JSON.
type Error struct {
	Verdict    Verdict       `json:"verdict"`
	Reason     Reason        `json:"reason"`
	Message    string        `json:"message"`
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"` // 0 if a retry would not help or may start at once
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.Verdict, e.Reason, e.Message)
}

// New returns a refusal with a formatted message.
func New(v Verdict, r Reason, format string, args ...any) *Error {
	return &Error{Verdict: v, Reason: r, Message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy of e that asks the caller to retry no earlier than after d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// FromError returns the refusal that err wraps. For any other error it returns a refusal
// with MayHaveRun and reason Internal: nothing shows that the request has not run.
func FromError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(MayHaveRun, Internal, "%v", err)
}
