package access

import "fmt"

// AuthError means that a request could not be authenticated as an operator's or
// exceeds the size limit. Its message says what to change.
type AuthError struct {
	Message string
}

// Error implements error.
func (e *AuthError) Error() string { return e.Message }

func newAuthError(format string, args ...any) *AuthError {
	return &AuthError{Message: fmt.Sprintf(format, args...)}
}
