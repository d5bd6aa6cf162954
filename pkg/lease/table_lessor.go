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

const (
	// DefaultRoleTTL is the time without a renewal after which another daemon
	// may take over a role.
	DefaultRoleTTL = 15 * time.Second
	// marginDivisor sets the safety margin of a lease: the lease expires
	// TTL/marginDivisor before the TTL has passed. A quarter of the TTL covers a
	// clock that runs at three quarters of the true rate.
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

// roleState is this daemon's state for one role.
type roleState struct {
	callMu sync.Mutex // held during a call; guards watch
	watch  roleWatch

	mu     sync.Mutex
	held   bool
	record RoleRecord // the row as this daemon wrote it, valid while held
	lease  Lease
}

// NewTableLessor returns a lessor for the incarnation self. A ttl of 0 selects
// DefaultRoleTTL. All daemons must use the same TTL.
func NewTableLessor(table storage.Table, self string, ttl time.Duration) *TableLessor {
	if ttl <= 0 {
		ttl = DefaultRoleTTL
	}
	return &TableLessor{table: table, self: self, ttl: ttl, roles: map[string]*roleState{}}
}

// Acquire implements Lessor.
func (l *TableLessor) Acquire(ctx context.Context, role string) (Lease, error) {
	state := l.state(role)
	state.callMu.Lock()
	defer state.callMu.Unlock()
	lease, err := l.renew(ctx, state)
	if err == nil {
		return lease, nil
	}
	if _, _, held := state.current(); held {
		return Lease{}, fmt.Errorf("renew role %s: %w", role, err)
	}
	return l.tryAcquire(ctx, role, state)
}

// Renew implements Lessor.
func (l *TableLessor) Renew(ctx context.Context, role string) (Lease, error) {
	state := l.state(role)
	state.callMu.Lock()
	defer state.callMu.Unlock()
	lease, err := l.renew(ctx, state)
	if err != nil {
		return Lease{}, fmt.Errorf("renew role %s: %w", role, err)
	}
	return lease, nil
}

// Release implements Lessor.
func (l *TableLessor) Release(ctx context.Context, role string) error {
	state := l.state(role)
	state.callMu.Lock()
	defer state.callMu.Unlock()
	record, lease, held := state.current()
	if !held {
		return fmt.Errorf("release role %s: %w", role, ErrNotHeld)
	}
	state.clearLease()
	if _, err := l.rewrite(ctx, record, lease.Version, released); err != nil {
		return fmt.Errorf("release role %s: %w", role, err)
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

// tryAcquire reads the role row and acquires the role if state.watch allows it.
func (l *TableLessor) tryAcquire(ctx context.Context, role string, state *roleState) (Lease, error) {
	rows, err := l.table.Get(ctx, RoleKey(role))
	if err != nil {
		return Lease{}, fmt.Errorf("read row of role %s: %w", role, err)
	}
	current, err := decodeRole(rows[0])
	if err != nil {
		return Lease{}, err
	}
	if !state.watch.observe(current, time.Now()) {
		return Lease{}, fmt.Errorf("%w: role %s, holder %s", ErrHeld, role, current.Holder)
	}
	next := takeOver(role, l.self, current)
	begin := time.Now()
	outcome, err := l.put(ctx, next, rows[0].Version)
	if err != nil {
		return Lease{}, fmt.Errorf("acquire role %s: %w", role, err)
	}
	if !outcome.Committed {
		return Lease{}, fmt.Errorf("%w: row of role %s was changed concurrently", ErrHeld, role)
	}
	return state.setLease(next, l.newLease(next, outcome.Revision, begin)), nil
}

func (l *TableLessor) renew(ctx context.Context, state *roleState) (Lease, error) {
	record, lease, held := state.current()
	if !held {
		return Lease{}, ErrNotHeld
	}
	written, err := l.rewrite(ctx, record, lease.Version, renewal)
	if err != nil {
		if isLost(err) {
			state.clearLease()
		}
		return Lease{}, err
	}
	return state.setLease(written.record, l.newLease(written.record, written.version, written.begin)), nil
}

// newLease returns the lease for a written role row. Its term is counted from
// begin, the time before the submission.
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

// current returns the row, the lease and whether this daemon holds the role,
// even if the lease has expired.
func (s *roleState) current() (RoleRecord, Lease, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.record, s.lease, s.held
}

func (s *roleState) setLease(record RoleRecord, lease Lease) Lease {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = true
	s.record = record
	s.lease = lease
	return lease
}

func (s *roleState) clearLease() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = false
}
