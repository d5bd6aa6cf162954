package lease

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/peppertrail/peppertrail/pkg/platform"
	"github.com/peppertrail/peppertrail/pkg/platform/retry"
)

// ErrRegistered means that a holder row of the incarnation exists already.
var ErrRegistered = errors.New("incarnation is already registered")

// Register creates the holder row of record and returns its version. While the
// table is unavailable it submits the row again until ctx ends; the row may
// then exist, and the incarnation must not be used. It returns ErrRegistered
// (wrapped) if the row exists.
func Register(ctx context.Context, table platform.Table, record HolderRecord) (version uint64, err error) {
	value, err := json.Marshal(record)
	if err != nil {
		return 0, fmt.Errorf("encode holder row: %w", err)
	}
	key := HolderKey(record.Incarnation)
	outcome, err := retry.Commit(ctx, table, platform.Txn{
		ID:         rand.Text(),
		Conditions: []platform.Condition{{Key: key}},
		Puts:       []platform.Put{{Key: key, Value: value}},
	})
	if err != nil {
		return 0, fmt.Errorf("register %s: %w", record.Incarnation, err)
	}
	if !outcome.Committed {
		return 0, fmt.Errorf("%w: %s", ErrRegistered, record.Incarnation)
	}
	return outcome.Revision, nil
}
