package access

import "fmt"

// AuthError means that an operator request is refused because it could not be
// authenticated or its body is larger than MaxBody. Its message says what to change.
type AuthError struct {
	Message string
}

// Error implements error.
func (e *AuthError) Error() string { return e.Message }

func newAuthError(format string, args ...any) *AuthError {
	return &AuthError{Message: fmt.Sprintf(format, args...)}
}
