package lease

import (
	"time"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

// Lease is a role held by this daemon.
type Lease struct {
	Role    string
	Fencing uint64    // fencing number, higher than that of every earlier holder
	Version uint64    // version of the role row; changes with each renewal
	Expires time.Time // time, on this daemon's monotonic clock, by which the holder must have stopped acting
}

// Condition returns the condition that each transaction of the role must
// contain. It fails after a take-over and also after a renewal; after a renewal
// the holder submits again with the condition of its current lease.
func (l Lease) Condition() storage.Condition {
	return storage.Condition{Key: RoleKey(l.Role), Version: l.Version}
}

// valid reports whether the holder may act at the time now.
func (l Lease) valid(now time.Time) bool {
	return now.Before(l.Expires)
}
