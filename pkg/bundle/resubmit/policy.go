// Package resubmit commits table transactions whose reply may be lost.
package resubmit

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

// Policy says how often a transaction is submitted again under the same id.
type Policy struct {
	Attempts    int           // submissions in total, at least 1
	InitialWait time.Duration // before the second submission; doubles each time
}

// Default resubmits for about 0.75 s, which covers a dropped connection but
// not an outage: an operator is told to repeat the command.
var Default = Policy{Attempts: 5, InitialWait: 50 * time.Millisecond}

// NewID returns a random transaction id.
func NewID() string {
	raw := make([]byte, 16)
	_, _ = rand.Read(raw) // never fails since Go 1.24
	return hex.EncodeToString(raw)
}

// Commit submits txn until its outcome is known. It returns
// storage.ErrUnavailable (wrapped) when the outcome is still unknown after
// the last attempt or when ctx ends.
func (p Policy) Commit(ctx context.Context, table storage.Table, txn storage.Txn) (storage.Outcome, error) {
	wait := p.InitialWait
	for attempt := 1; ; attempt++ {
		outcome, err := table.Commit(ctx, txn)
		if err == nil || !errors.Is(err, storage.ErrUnavailable) {
			return outcome, err
		}
		if attempt >= p.Attempts {
			return storage.Outcome{}, fmt.Errorf("outcome of transaction %s is unknown after %d attempts: %w", txn.ID, attempt, err)
		}
		if !sleep(ctx, wait) {
			return storage.Outcome{}, fmt.Errorf("outcome of transaction %s is unknown: %w", txn.ID, err)
		}
		wait *= 2
	}
}

// sleep waits for d and reports whether ctx is still alive.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
