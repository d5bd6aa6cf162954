package lease

import (
	"context"
	"errors"
)

// Errors of a Lessor. Calls also return errors that wrap platform.ErrUnavailable.
var (
	// ErrHeld means that another daemon holds the role, or that it was faster to take it.
	ErrHeld = errors.New("role is held by another daemon")
	// ErrLost means that another daemon has taken the role from this one.
	ErrLost = errors.New("role was lost to another daemon")
	// ErrNotHeld means that this daemon has not acquired the role.
	ErrNotHeld = errors.New("role is not held")
	// ErrBadRow means that the role row cannot be decoded. The role is not
	// taken, since its fencing number is unknown.
	ErrBadRow = errors.New("role row cannot be decoded")
)

// Lessor gives roles to one daemon at a time.
//
// A lease is not proof: a holder that is paused between its check of Held and
// the effect of its action can act after a take-over. Therefore everything that
// a role writes to the table must contain Lease.Condition, and every command
// to a target must carry Lease.Fencing.
//
// A holder that cannot renew must stop acting when Lease.Expires passes, which
// is before any other daemon takes the role over, and may resume when a later
// Renew succeeds. After ErrLost it must discard the state of the role and
// start again with Acquire.
type Lessor interface {
	// Acquire tries once to take the role, or renews it if this daemon holds
	// it. A free role is taken at once; one that is held is taken when its
	// Renewals counter has not changed for the TTL between calls, so that a
	// daemon that waits for a role calls Acquire more often than that. It
	// returns ErrHeld or ErrBadRow (wrapped). After platform.ErrUnavailable the
	// role may have been taken; the next call finds out.
	Acquire(ctx context.Context, role string) (Lease, error)
	// Renew extends the lease. It returns ErrLost or ErrNotHeld (wrapped). After
	// platform.ErrUnavailable the lease runs on until Expires.
	Renew(ctx context.Context, role string) (Lease, error)
	// Release gives the role up. The daemon must have stopped acting before. The
	// lease ends even if an error is returned; other daemons then wait for the TTL.
	Release(ctx context.Context, role string) error
	// Held returns the lease and whether this daemon may act on it now. It does no I/O.
	Held(role string) (Lease, bool)
}
