package lease

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/peppertrail/peppertrail/pkg/storage"
	"github.com/peppertrail/peppertrail/pkg/storage/retry"
)

// ErrRegistered means that the incarnation already has a holder row.
var ErrRegistered = errors.New("incarnation is already registered")

// Register creates the holder row of record and returns its version. While the
// table is unavailable it submits the row again until ctx ends. If ctx ends,
// the row may exist, and the incarnation must not be used. Register returns
// ErrRegistered (wrapped) if the row already exists.
func Register(ctx context.Context, table storage.Table, record HolderRecord) (version uint64, err error) {
	value, err := json.Marshal(record)
	if err != nil {
		return 0, fmt.Errorf("encode holder row: %w", err)
	}
	key := HolderKey(record.Incarnation)
	outcome, err := retry.Commit(ctx, table, storage.Txn{
		ID:         rand.Text(),
		Conditions: []storage.Condition{{Key: key}},
		Puts:       []storage.Put{{Key: key, Value: value}},
	})
	if err != nil {
		return 0, fmt.Errorf("register %s: %w", record.Incarnation, err)
	}
	if !outcome.Committed {
		return 0, fmt.Errorf("%w: %s", ErrRegistered, record.Incarnation)
	}
	return outcome.Revision, nil
}
