package lease

import "time"

// roleWatch decides when a role may be acquired, from the role rows that one
// daemon has read and its own clock. It does no I/O.
type roleWatch struct {
	self string // incarnation of this daemon
	ttl  time.Duration

	lastRow        RoleRecord
	unchangedSince time.Time // when lastRow was first read; zero if no row was read yet or if the last read showed a role that is free or held by this daemon
}

// observe records the role row (nil if absent), read before now, and reports
// whether the role may be acquired.
//
// A change of the row is dated to the end of the read, which is later than its
// submission by the holder. The holder counts its lease from the submission, so
// the lease expires before the take-over if both clocks run at the same rate.
func (w *roleWatch) observe(record *RoleRecord, now time.Time) bool {
	if record == nil || record.Holder == "" || record.Holder == w.self {
		w.unchangedSince = time.Time{}
		return true
	}
	if w.unchangedSince.IsZero() || w.lastRow != *record {
		w.lastRow = *record
		w.unchangedSince = now
	}
	return now.Sub(w.unchangedSince) >= w.ttl
}

// takeOver returns the row with which self acquires the role. record is the
// current row, nil if absent.
func takeOver(role, self string, record *RoleRecord) RoleRecord {
	next := RoleRecord{Role: role, Holder: self, Fencing: 1}
	if record != nil {
		next.Fencing = record.Fencing + 1
		next.Renewals = record.Renewals + 1
	}
	return next
}

// renewal returns the row that renews the lease.
func renewal(record RoleRecord) RoleRecord {
	record.Renewals++
	return record
}

// released returns the row of the role after its release. It keeps the fencing
// number, which must not start again at 1.
func released(record RoleRecord) RoleRecord {
	record.Holder = ""
	record.Renewals++
	return record
}
