package remote

import (
	"fmt"
	"net/http"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

// StatusError is a reply with a status other than 2xx. It wraps
// storage.ErrUnavailable for 429 and 5xx.
type StatusError struct {
	Code int    // HTTP status
	Body string // start of the reply body
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("platform answered %d: %s", e.Code, e.Body)
}

// Unwrap returns storage.ErrUnavailable for 429 and 5xx, else nil.
func (e *StatusError) Unwrap() error {
	if e.Code == http.StatusTooManyRequests || e.Code >= http.StatusInternalServerError {
		return storage.ErrUnavailable
	}
	return nil
}
