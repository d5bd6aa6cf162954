package bundle

import "fmt"

// ConflictError reports that a proposal is not based on the version in force.
type ConflictError struct {
	Base    uint64 // version that the proposal is based on
	InForce uint64 // version in force; 0 if none is
}

// Error implements error. The message includes the steps to resolve the conflict.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("base is version %d but version %d is in force: apply the change to version %d, set base to %d and submit again",
		e.Base, e.InForce, e.InForce, e.InForce)
}
