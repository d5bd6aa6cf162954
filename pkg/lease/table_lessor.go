package lease

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

// Defaults of roles.
const (
	DefaultRoleTTL = 15 * time.Second
	// marginDivisor sets the part of the TTL by which a holder stops early. A
	// quarter covers a clock that runs at three quarters of the true rate.
	marginDivisor = 4
)

// TableLessor implements Lessor with one table row per role. It is safe for
// concurrent use; calls for the same role wait for each other.
type TableLessor struct {
	table storage.Table
	self  string
	ttl   time.Duration

	mu    sync.Mutex
	roles map[string]*roleState
}

var _ Lessor = (*TableLessor)(nil)

// roleState is what this daemon knows of one role.
type roleState struct {
	io    sync.Mutex // held during a call; guards watch
	watch roleWatch

	mu     sync.Mutex
	held   bool
	record RoleRecord // the row as this daemon wrote it, valid while held
	lease  Lease
}

// NewTableLessor returns a lessor for the incarnation self. A ttl of 0 selects
// DefaultRoleTTL; all daemons must use the same.
func NewTableLessor(table storage.Table, self string, ttl time.Duration) *TableLessor {
	if ttl <= 0 {
		ttl = DefaultRoleTTL
	}
	return &TableLessor{table: table, self: self, ttl: ttl, roles: map[string]*roleState{}}
}

// Acquire implements Lessor.
func (l *TableLessor) Acquire(ctx context.Context, role string) (Lease, error) {
	state := l.state(role)
	state.io.Lock()
	defer state.io.Unlock()
	lease, err := l.renew(ctx, state)
	if err == nil {
		return lease, nil
	}
	if _, _, held := state.current(); held {
		return Lease{}, fmt.Errorf("renew %s: %w", role, err)
	}
	return l.take(ctx, role, state)
}

// Renew implements Lessor.
func (l *TableLessor) Renew(ctx context.Context, role string) (Lease, error) {
	state := l.state(role)
	state.io.Lock()
	defer state.io.Unlock()
	lease, err := l.renew(ctx, state)
	if err != nil {
		return Lease{}, fmt.Errorf("renew %s: %w", role, err)
	}
	return lease, nil
}

// Release implements Lessor.
func (l *TableLessor) Release(ctx context.Context, role string) error {
	state := l.state(role)
	state.io.Lock()
	defer state.io.Unlock()
	record, lease, held := state.current()
	if !held {
		return fmt.Errorf("release %s: %w", role, ErrNotHeld)
	}
	state.drop()
	if _, err := l.rewrite(ctx, record, lease.Version, released); err != nil {
		return fmt.Errorf("release %s: %w", role, err)
	}
	return nil
}

// Held implements Lessor.
func (l *TableLessor) Held(role string) (Lease, bool) {
	_, lease, held := l.state(role).current()
	return lease, held && lease.valid(time.Now())
}

func (l *TableLessor) state(role string) *roleState {
	l.mu.Lock()
	defer l.mu.Unlock()
	state, ok := l.roles[role]
	if !ok {
		state = &roleState{watch: roleWatch{self: l.self, ttl: l.ttl}}
		l.roles[role] = state
	}
	return state
}

// take reads the role row and takes the role if the watch allows it.
func (l *TableLessor) take(ctx context.Context, role string, state *roleState) (Lease, error) {
	rows, err := l.table.Get(ctx, RoleKey(role))
	if err != nil {
		return Lease{}, fmt.Errorf("acquire %s: %w", role, err)
	}
	current, err := decodeRole(rows[0])
	if err != nil {
		return Lease{}, err
	}
	if !state.watch.observe(current, time.Now()) {
		return Lease{}, fmt.Errorf("%w: %s by %s", ErrHeld, role, current.Holder)
	}
	next := takeOver(role, l.self, current)
	begin := time.Now()
	outcome, err := l.put(ctx, next, rows[0].Version)
	if err != nil {
		return Lease{}, fmt.Errorf("acquire %s: %w", role, err)
	}
	if !outcome.Committed {
		return Lease{}, fmt.Errorf("%w: %s changed at the same time", ErrHeld, role)
	}
	return state.hold(next, l.newLease(next, outcome.Revision, begin)), nil
}

func (l *TableLessor) renew(ctx context.Context, state *roleState) (Lease, error) {
	record, lease, held := state.current()
	if !held {
		return Lease{}, ErrNotHeld
	}
	written, err := l.rewrite(ctx, record, lease.Version, renewal)
	if err != nil {
		if isLost(err) {
			state.drop()
		}
		return Lease{}, err
	}
	return state.hold(written.record, l.newLease(written.record, written.version, written.begin)), nil
}

// newLease counts the lease from the time before the submission.
func (l *TableLessor) newLease(record RoleRecord, version uint64, begin time.Time) Lease {
	return Lease{
		Role:    record.Role,
		Fencing: record.Fencing,
		Version: version,
		Expires: begin.Add(l.ttl - l.ttl/marginDivisor),
	}
}

func (l *TableLessor) put(ctx context.Context, record RoleRecord, version uint64) (storage.Outcome, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return storage.Outcome{}, fmt.Errorf("encode role row: %w", err)
	}
	key := RoleKey(record.Role)
	return l.table.Commit(ctx, storage.Txn{
		ID:         rand.Text(),
		Conditions: []storage.Condition{{Key: key, Version: version}},
		Puts:       []storage.Put{{Key: key, Value: value}},
	})
}

// current returns the row and the lease, and whether the role is held, expired or not.
func (s *roleState) current() (RoleRecord, Lease, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.record, s.lease, s.held
}

func (s *roleState) hold(record RoleRecord, lease Lease) Lease {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = true
	s.record = record
	s.lease = lease
	return lease
}

func (s *roleState) drop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = false
}
