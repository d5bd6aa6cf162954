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

// ErrRegistered means that a holder row of the incarnation exists already.
var ErrRegistered = errors.New("incarnation is already registered")

// Register creates the holder row of record and returns its version. While the
// table is unavailable it submits the row again until ctx ends; the row may
// then exist, and the incarnation must not be used. It returns ErrRegistered
// (wrapped) if the row exists.
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
