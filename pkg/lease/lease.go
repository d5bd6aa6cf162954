package lease

import (
	"time"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

// Lease is a role held by this daemon.
type Lease struct {
	Role    string
	Fencing uint64    // higher than that of every earlier holder
	Version uint64    // version of the role row; changes with each renewal
	Expires time.Time // on this daemon's monotonic clock: the holder must have stopped acting by then
}

// Condition is the condition that each transaction of the role must contain.
// It fails after a take-over, and also after a renewal: then the holder
// submits again with the condition of its current lease.
func (l Lease) Condition() storage.Condition {
	return storage.Condition{Key: RoleKey(l.Role), Version: l.Version}
}

// valid reports whether the holder may act at the time now.
func (l Lease) valid(now time.Time) bool {
	return now.Before(l.Expires)
}
