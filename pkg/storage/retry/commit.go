package retry

import (
	"context"
	"errors"
	"time"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

// Commit submits txn under its id until it is decided. It returns an error that
// wraps storage.ErrUnavailable if ctx ends first, when the outcome is unknown,
// or the error of a table that refuses txn.
func Commit(ctx context.Context, table storage.Table, txn storage.Txn) (storage.Outcome, error) {
	var delay Backoff
	for {
		outcome, err := table.Commit(ctx, txn)
		if err == nil || !errors.Is(err, storage.ErrUnavailable) {
			return outcome, err
		}
		select {
		case <-time.After(delay.Next()):
		case <-ctx.Done():
			return outcome, err
		}
	}
}
