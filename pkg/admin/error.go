package admin

import (
	"fmt"
	"net/http"
	"time"

	"github.com/peppertrail/peppertrail/pkg/bundle"
)

// Code is the error code of a failed call.
type Code string

// Error codes of failed calls.
const (
	BadRequest   Code = "bad_request"  // invalid input; the message says what to change
	Unauthorized Code = "unauthorized" // the signature is missing or invalid
	Forbidden    Code = "forbidden"    // the operator is not allowed to do this
	NotFound     Code = "not_found"
	Conflict     Code = "conflict"    // the current state does not allow the call; read it again
	Unavailable  Code = "unavailable" // the platform does not answer; the outcome is unknown, repeat the call
	Internal     Code = "internal"
)

// statusByCode gives the HTTP status of each code.
var statusByCode = map[Code]int{
	BadRequest:   http.StatusBadRequest,
	Unauthorized: http.StatusUnauthorized,
	Forbidden:    http.StatusForbidden,
	NotFound:     http.StatusNotFound,
	Conflict:     http.StatusConflict,
	Unavailable:  http.StatusServiceUnavailable,
	Internal:     http.StatusInternalServerError,
}

// Error describes a failed call. It is encoded as {"error": Error}.
type Error struct {
	Code       Code             `json:"code"`
	Message    string           `json:"message"`
	Problems   []bundle.Problem `json:"problems,omitempty"` // problems of a submitted bundle
	InForce    uint64           `json:"in_force,omitempty"` // bundle version in force; set for a bundle conflict
	RetryAfter time.Duration    `json:"-"`                  // sent as the Retry-After header
}

// Error implements error.
func (e *Error) Error() string { return e.Message }

// Status returns the HTTP status.
func (e *Error) Status() int {
	if status, ok := statusByCode[e.Code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// errorf returns an Error with a formatted message.
func errorf(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

// errorReply is the body of a failed call.
type errorReply struct {
	Error *Error `json:"error"`
}
