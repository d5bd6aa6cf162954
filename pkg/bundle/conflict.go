package bundle

import "fmt"

// ConflictError means that a proposal does not start from the version in force.
type ConflictError struct {
	Base    uint64 // version that the proposal starts from
	InForce uint64 // 0: no version is in force
}

// Error implements error and says what to do.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("base is version %d but version %d is in force: apply the change to version %d, set base to %d and submit again",
		e.Base, e.InForce, e.InForce, e.InForce)
}
