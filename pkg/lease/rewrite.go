package lease

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

// rewriteAttempts is the number of submissions of a rewrite. The second one is
// needed after an earlier write of this daemon whose reply was lost.
const rewriteAttempts = 2

// writtenRole is a role row that this daemon wrote.
type writtenRole struct {
	record  RoleRecord
	version uint64
	begin   time.Time // time before the submission, from which the lease is counted
}

// rewrite replaces the role row that this daemon wrote by change(row). A
// conflict with a row of the same holder and fencing number is caused by an
// earlier write of this daemon whose reply was lost; rewrite then continues
// from that row. It returns ErrLost (wrapped) if the row belongs to another
// daemon.
func (l *TableLessor) rewrite(ctx context.Context, record RoleRecord, version uint64, change func(RoleRecord) RoleRecord) (writtenRole, error) {
	for range rewriteAttempts {
		next := change(record)
		begin := time.Now()
		outcome, err := l.put(ctx, next, version)
		if err != nil {
			return writtenRole{}, err
		}
		if outcome.Committed {
			return writtenRole{record: next, version: outcome.Revision, begin: begin}, nil
		}
		current, row, err := conflictingRole(outcome)
		if err != nil {
			return writtenRole{}, err
		}
		if current == nil || current.Holder != l.self || current.Fencing != record.Fencing {
			return writtenRole{}, fmt.Errorf("%w: %s", ErrLost, record.Role)
		}
		record, version = *current, row.Version
	}
	return writtenRole{}, fmt.Errorf("%w: row of role %s changed in each attempt to rewrite it", storage.ErrUnavailable, record.Role)
}

// isLost reports whether err means that this daemon no longer holds the role:
// another daemon has taken it, or its row cannot be decoded.
func isLost(err error) bool {
	return errors.Is(err, ErrLost) || errors.Is(err, ErrBadRow)
}

// conflictingRole returns the row that caused a conflict, decoded and as read.
// The decoded row is nil if the row is absent.
func conflictingRole(outcome storage.Outcome) (*RoleRecord, storage.Row, error) {
	if len(outcome.Conflicts) == 0 {
		return nil, storage.Row{}, fmt.Errorf("%w: table reported a conflict without the conflicting row", storage.ErrUnavailable)
	}
	row := outcome.Conflicts[0]
	record, err := decodeRole(row)
	return record, row, err
}

// decodeRole returns nil for an absent row and ErrBadRow (wrapped) for one that cannot be decoded.
func decodeRole(row storage.Row) (*RoleRecord, error) {
	if row.Version == 0 {
		return nil, nil
	}
	var record RoleRecord
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrBadRow, row.Key, err)
	}
	return &record, nil
}
