// Package commit groups the durable effects of one daemon into transactions.
//
// Every transaction requires and rewrites the daemon's holder row, so that a
// fenced daemon cannot write and a commit is also a lease renewal.
package commit

import (
	"errors"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

// Errors in a Result.
var (
	// ErrConflict means that a condition of the operation did not hold. Nothing of it was written.
	ErrConflict = errors.New("commit conflict")
	// ErrFenced means that the holder row was changed by another daemon. Nothing was written.
	ErrFenced = errors.New("holder fenced")
	// ErrStopped means that the committer stopped; the outcome is unknown if the operation was in flight.
	ErrStopped = errors.New("committer stopped")
)

// Op is one atomic set of writes. Ops of one transaction are independent: a
// conflict in one does not affect the others.
type Op struct {
	Conditions []storage.Condition
	Puts       []storage.Put
	Deletes    []string
	// Done is called once, from the committer's goroutine, and must not block.
	Done func(Result)
}

// Result is the outcome of an Op.
type Result struct {
	Err       error
	Revision  uint64        // version of the rows written
	Conflicts []storage.Row // current rows behind the failed conditions, with ErrConflict
}
