package lease

import (
	"context"
	"errors"
)

// Errors of a Lessor. Calls also return errors that wrap storage.ErrUnavailable.
var (
	// ErrHeld means that another daemon holds the role or acquired it at the same time.
	ErrHeld = errors.New("role is held by another daemon")
	// ErrLost means that another daemon has taken the role from this one.
	ErrLost = errors.New("role was lost to another daemon")
	// ErrNotHeld means that this daemon has not acquired the role.
	ErrNotHeld = errors.New("role is not held")
	// ErrBadRow means that the role row cannot be decoded. The role is not
	// acquired, since its fencing number is unknown.
	ErrBadRow = errors.New("role row cannot be decoded")
)

// Lessor leases each role to one daemon at a time.
//
// A lease alone does not prevent writes by a former holder: a holder that is
// paused between its check of Held and the effect of its action can act after a
// take-over. Therefore each transaction of a role must contain Lease.Condition,
// and each command to a target must carry Lease.Fencing.
//
// A holder that cannot renew must stop acting at Lease.Expires, which is before
// any other daemon can take over the role. It may resume when a later Renew
// succeeds. After ErrLost it must discard the state of the role and start again
// with Acquire.
type Lessor interface {
	// Acquire tries once to acquire the role, or renews it if this daemon holds
	// it. A free role is acquired at once. A role held by another daemon is
	// taken over when calls of Acquire have seen its row unchanged for the TTL,
	// so a daemon that waits for a role must call Acquire more often than once
	// per TTL. It returns ErrHeld or ErrBadRow (wrapped). After
	// storage.ErrUnavailable it is unknown whether the role was acquired; the
	// next call reads the row again.
	Acquire(ctx context.Context, role string) (Lease, error)
	// Renew extends the lease. It returns ErrLost or ErrNotHeld (wrapped). After
	// storage.ErrUnavailable the lease stays valid until Expires.
	Renew(ctx context.Context, role string) (Lease, error)
	// Release releases the role. The daemon must have stopped acting before the
	// call. The lease ends even if an error is returned; other daemons then wait
	// for the TTL.
	Release(ctx context.Context, role string) error
	// Held returns the lease and whether this daemon may act on it now. It does no I/O.
	Held(role string) (Lease, bool)
}
