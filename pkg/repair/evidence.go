package repair

import (
	"context"
	"time"

	"github.com/peppertrail/peppertrail/pkg/lease"
	"github.com/peppertrail/peppertrail/pkg/target"
)

// DaemonStatus is the answer of one daemon about the grants of a fenced holder.
type DaemonStatus struct {
	Gone bool   // the daemon's process has ended: nothing listens at its address
	Home string // incarnation under which the daemon holds grants now; set if the daemon answered
	Open int    // number of the daemon's attempts on the holder's grants that are not settled
}

// Evidence provides the facts that decide whether written-off tokens may be
// returned to their budget. An error means that a fact is not available now.
type Evidence interface {
	// QueryDaemon queries the daemon of a holder row about the grants of another holder.
	QueryDaemon(ctx context.Context, daemon lease.HolderRecord, holder string) (DaemonStatus, error)
	// LastChange returns when the row of an incarnation was last seen to change,
	// and false if that is not known.
	LastChange(incarnation string) (time.Time, bool)
	// Targets returns the engines that may have run streams. It returns false
	// if one was lost since the given time, because its usage cannot be read.
	Targets(since time.Time) ([]target.Target, bool)
	// Usage returns the tokens that a target used for a stream, and whether the
	// target has a record of the stream. It waits for a running stream to end.
	Usage(ctx context.Context, t target.Target, stream string) (tokens int64, known bool, err error)
	// CallCost returns the highest cost, in tokens, of a call to a plain service.
	// Plain services keep no streams, so the cost of a call cannot be queried.
	CallCost() int64
}
