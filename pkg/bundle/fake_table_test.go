package bundle

import (
	"context"
	"strings"
	"sync"

	"github.com/peppertrail/peppertrail/pkg/standin/faketable"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

// versionPrefix is the key prefix of accepted versions.
const versionPrefix = "bundle/v/"

// fakeTable is a faketable with hooks. It counts commits and detects accepted
// versions that are overwritten.
type fakeTable struct {
	*faketable.Table
	// beforeCommit runs once, before the next commit is applied.
	beforeCommit func()
	// beforeGet runs before each read of rows.
	beforeGet  func(keys []string)
	mu         sync.Mutex // guards beforeCommit and commits
	commits    int
	violations []string // keys of overwritten versions; guarded by the table's lock
}

func newFakeTable() *fakeTable {
	t := &fakeTable{Table: faketable.New()}
	t.OnPut = t.checkPut
	return t
}

// Commit implements storage.Table.
func (t *fakeTable) Commit(ctx context.Context, txn storage.Txn) (storage.Outcome, error) {
	if hook := t.takeHook(); hook != nil {
		hook()
	}
	t.mu.Lock()
	t.commits++
	t.mu.Unlock()
	return t.Table.Commit(ctx, txn)
}

func (t *fakeTable) takeHook() func() {
	t.mu.Lock()
	defer t.mu.Unlock()
	hook := t.beforeCommit
	t.beforeCommit = nil
	return hook
}

// checkPut records a put that replaces an accepted version by different content.
func (t *fakeTable) checkPut(before storage.Row, p storage.Put) {
	if before.Version != 0 && strings.HasPrefix(p.Key, versionPrefix) && string(before.Value) != string(p.Value) {
		t.violations = append(t.violations, p.Key)
	}
}

// Get implements storage.Table.
func (t *fakeTable) Get(ctx context.Context, keys ...string) ([]storage.Row, error) {
	if t.beforeGet != nil {
		t.beforeGet(keys)
	}
	return t.Table.Get(ctx, keys...)
}
