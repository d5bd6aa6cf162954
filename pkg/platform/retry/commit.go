package retry

import (
	"context"
	"errors"
	"time"

	"github.com/peppertrail/peppertrail/pkg/platform"
)

// Commit submits txn under its id until it is decided. It returns an error that
// wraps platform.ErrUnavailable if ctx ends first, when the outcome is unknown,
// or the error of a table that refuses txn.
func Commit(ctx context.Context, table platform.Table, txn platform.Txn) (platform.Outcome, error) {
	var delay Backoff
	for {
		outcome, err := table.Commit(ctx, txn)
		if err == nil || !errors.Is(err, platform.ErrUnavailable) {
			return outcome, err
		}
		select {
		case <-time.After(delay.Next()):
		case <-ctx.Done():
			return outcome, err
		}
	}
}
