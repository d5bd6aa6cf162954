package escrow

import (
	"context"
	"time"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

const (
	// sharedMembershipPause is the time between two reads of the host rows if hosts pass these on
	// to each other. Two such pauses, at the host that reads the store and at the one that asks
	// it, delay what a host knows by less than maxMembershipPause does.
	sharedMembershipPause = 500 * time.Millisecond
	// sharedReadTime is the time that a read may take in addition while other hosts are asked
	// in vain: two for 800 and 300 ms, another for 300 ms, and up to 300 ms before the store is
	// read.
	sharedReadTime = 1700 * time.Millisecond
	// sharedRowsAge is the greatest age of host rows that another host passes on.
	sharedRowsAge = 2 * time.Second
)

// HostRows reads the host rows. Pages that another host has passed on have no reading of the
// store's clock, are at most sharedRowsAge old, and may be slightly older than what was read
// before.
type HostRows interface {
	// Range and Feed are those of storage.Rows.
	Range(ctx context.Context, table, part, from string) (storage.RowPage, error)
	Feed(ctx context.Context, table string, since storage.Version, wait time.Duration) (storage.RowPage, error)
	// Applied is called with each page of Feed once it is applied.
	Applied(page storage.RowPage)
	// Shared reports whether hosts pass the rows on to each other now.
	Shared() bool
}

// directHostRows reads the host rows from the store.
type directHostRows struct{ storage.Rows }

// Applied implements HostRows.
func (directHostRows) Applied(storage.RowPage) {}

// Shared implements HostRows.
func (directHostRows) Shared() bool { return false }
