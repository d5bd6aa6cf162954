package access

import "fmt"

// AuthError means that a request is not by a trusted operator. Its message
// says what to change.
type AuthError struct {
	Message string
}

// Error implements error.
func (e *AuthError) Error() string { return e.Message }

func refuse(format string, args ...any) *AuthError {
	return &AuthError{Message: fmt.Sprintf(format, args...)}
}
