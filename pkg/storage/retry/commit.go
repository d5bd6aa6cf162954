package retry

import (
	"context"
	"errors"
	"time"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

// Commit submits txn with the same id until it is decided. If ctx ends first, the
// outcome is unknown and the error wraps storage.ErrUnavailable. Any other error of
// the table is returned at once.
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
