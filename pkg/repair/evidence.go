package repair

import (
	"context"
	"time"

	"github.com/peppertrail/peppertrail/pkg/lease"
	"github.com/peppertrail/peppertrail/pkg/target"
)

// Testimony is what is known of a daemon's part in a dead holder's grants.
type Testimony struct {
	Gone bool   // the process has ended: nothing listens at its address
	Home string // incarnation that its own authority acts for, if it answered
	Open int    // its attempts on the holder's grants that are not settled
}

// Evidence answers the questions that decide whether written-off tokens may go
// back to their budget. An error means that there is no answer now.
type Evidence interface {
	// Ask asks the daemon of a holder row about the grants of another holder.
	Ask(ctx context.Context, daemon lease.HolderRecord, holder string) (Testimony, error)
	// LastChange returns when the row of an incarnation was last seen to change.
	LastChange(incarnation string) (time.Time, bool)
	// Targets returns the engines that may have run streams. It returns false
	// if one was lost since the given time: what it ran cannot be read.
	Targets(since time.Time) ([]target.Target, bool)
	// Usage returns the tokens that a target ran for a stream, and whether it
	// knows the stream. It waits for a running stream to end.
	Usage(ctx context.Context, t target.Target, stream string) (tokens int64, known bool, err error)
	// CallCost returns the highest cost in tokens of a call that leaves no
	// trace at its target: plain services keep no streams.
	CallCost() int64
}
