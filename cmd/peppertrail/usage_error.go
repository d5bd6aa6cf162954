package main

import "fmt"

// usageError is bad input: which flag or argument, its value and what is allowed.
type usageError struct {
	name    string
	value   string
	allowed string
}

// Error implements error.
func (e *usageError) Error() string {
	return fmt.Sprintf("%s: %q is not allowed: %s", e.name, e.value, e.allowed)
}

func usage(name, value, allowed string) error {
	return &usageError{name: name, value: value, allowed: allowed}
}
