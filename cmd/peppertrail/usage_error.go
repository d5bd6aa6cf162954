package main

import "fmt"

// usageError is an invalid flag or argument.
type usageError struct {
	name    string // flag or argument
	value   string // value given by the user
	allowed string // description of the allowed values
}

// Error implements error.
func (e *usageError) Error() string {
	return fmt.Sprintf("%s: %q is not allowed: %s", e.name, e.value, e.allowed)
}

func newUsageError(name, value, allowed string) error {
	return &usageError{name: name, value: value, allowed: allowed}
}
