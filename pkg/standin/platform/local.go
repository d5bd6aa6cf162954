package platform

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

// Local gives tests in the same process access to the table and the membership
// list of a Server without HTTP, with the same injected faults.
type Local struct {
	server *Server
}

var (
	_ storage.Table   = (*Local)(nil)
	_ storage.Members = (*Local)(nil)
)

// Local returns access to the table and the membership list without HTTP.
func (s *Server) Local() *Local {
	return &Local{server: s}
}

// Commit implements storage.Table.
func (l *Local) Commit(ctx context.Context, txn storage.Txn) (storage.Outcome, error) {
	faults, err := l.injectLatency(ctx)
	if err != nil {
		return storage.Outcome{}, err
	}
	if faults.TableDown {
		return storage.Outcome{}, errDown()
	}
	if !l.server.writes.allow(faults.MaxWritesPerSecond, time.Now()) {
		l.server.table.countRateLimited()
		return storage.Outcome{}, fmt.Errorf("%w: too many writes", storage.ErrUnavailable)
	}
	outcome, err := l.server.table.commit(txn)
	if err == nil && rand.Float64() < faults.LostReplyProbability {
		l.server.table.countLostReply()
		return storage.Outcome{}, fmt.Errorf("%w: reply lost", storage.ErrUnavailable)
	}
	return outcome, err
}

// Get implements storage.Table.
func (l *Local) Get(ctx context.Context, keys ...string) ([]storage.Row, error) {
	faults, err := l.injectLatency(ctx)
	if err != nil {
		return nil, err
	}
	if faults.TableDown {
		return nil, errDown()
	}
	return l.server.table.get(keys), nil
}

// Scan implements storage.Table.
func (l *Local) Scan(ctx context.Context, prefix, after string, limit int) ([]storage.Row, error) {
	faults, err := l.injectLatency(ctx)
	if err != nil {
		return nil, err
	}
	if faults.TableDown {
		return nil, errDown()
	}
	return l.server.table.scan(prefix, after, limit)
}

// Members implements storage.Members.
func (l *Local) Members(ctx context.Context) ([]storage.Member, error) {
	faults, err := l.injectLatency(ctx)
	if err != nil {
		return nil, err
	}
	if faults.MembersDown {
		return nil, errDown()
	}
	return l.server.members.list(faults.membershipLag()), nil
}

// PutMember adds or replaces a member.
func (l *Local) PutMember(m storage.Member) { l.server.members.put(m) }

// RemoveMember removes a member.
func (l *Local) RemoveMember(id string) { l.server.members.remove(id) }

// injectLatency waits for the injected latency and returns the faults that are set
// after the wait.
func (l *Local) injectLatency(ctx context.Context) (Faults, error) {
	if err := sleep(ctx, l.server.Faults().delay()); err != nil {
		return Faults{}, fmt.Errorf("%w: %w", storage.ErrUnavailable, err)
	}
	return l.server.Faults(), nil
}

func errDown() error {
	return fmt.Errorf("%w: service down", storage.ErrUnavailable)
}
