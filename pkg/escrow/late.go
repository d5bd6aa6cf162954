package escrow

import (
	"errors"
	"syscall"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

// isLate reports whether a call that has failed with err may still be answered, or would have been
// on a link with room: the response did not arrive in time, or its connection was given up for
// that. before is the result for the call before; it stays if the call was not attempted.
func isLate(err error, before bool) bool {
	for _, refusal := range []error{syscall.ECONNREFUSED, syscall.ENETUNREACH, syscall.EHOSTUNREACH, storage.ErrThrottled} {
		if errors.Is(err, refusal) {
			return false
		}
	}
	return before || !errors.Is(err, storage.ErrNotApplied)
}
