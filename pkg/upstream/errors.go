package upstream

import (
	"errors"
	"fmt"
	"net"
)

// Causes of failed requests. With ErrDial and ErrConnLimit the request was not
// sent.
var (
	ErrDial            = errors.New("connection to the target could not be established")
	ErrConnLimit       = errors.New("connection limit of the target reached")
	ErrInvalidResponse = errors.New("target sent an invalid response")
)

// errHeadTooLarge is returned by reads beyond maxHeadBytes.
var errHeadTooLarge = fmt.Errorf("header exceeds %d bytes", maxHeadBytes)

// SendError is the failure of one attempt to send a request.
type SendError struct {
	Sent bool // bytes of the request may have reached the target
	Err  error
}

// Error implements error.
func (e *SendError) Error() string {
	if e.Sent {
		return fmt.Sprintf("request sent, but no valid response received: %v", e.Err)
	}
	return fmt.Sprintf("request not sent: %v", e.Err)
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// MayHaveRun reports whether the target may have received the request. For an
// error that is not a *SendError the cause is unknown, so it returns true.
func MayHaveRun(err error) bool {
	var e *SendError
	return !errors.As(err, &e) || e.Sent
}

// TimedOut reports whether a request was not sent because the setup of the connection took too
// long. A connection that is refused, or that has no route, fails at once.
func TimedOut(err error) bool {
	var network net.Error
	return errors.Is(err, ErrDial) && errors.As(err, &network) && network.Timeout()
}
