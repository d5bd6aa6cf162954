package lease

import "time"

// roleWatch decides when a role may be taken, from the rows that one daemon
// has seen and its own clock. It does no I/O.
type roleWatch struct {
	self string // incarnation
	ttl  time.Duration

	seen  RoleRecord
	since time.Time // when seen was first read; zero before the first row
}

// observe takes the role row (nil if absent), read before now, and reports
// whether the role may be taken.
//
// The time of a change is when its read ended, which is later than the holder
// submitted it. The holder counts from its submission, so that its lease
// expires first on clocks of the same rate.
func (w *roleWatch) observe(record *RoleRecord, now time.Time) bool {
	if record == nil || record.Holder == "" || record.Holder == w.self {
		w.since = time.Time{}
		return true
	}
	if w.since.IsZero() || w.seen != *record {
		w.seen = *record
		w.since = now
	}
	return now.Sub(w.since) >= w.ttl
}

// takeOver returns the row with which self takes the role from the holder of record (nil if absent).
func takeOver(role, self string, record *RoleRecord) RoleRecord {
	next := RoleRecord{Role: role, Holder: self, Fencing: 1}
	if record != nil {
		next.Fencing = record.Fencing + 1
		next.Renewals = record.Renewals + 1
	}
	return next
}

// renewal returns the row that extends the lease.
func renewal(record RoleRecord) RoleRecord {
	record.Renewals++
	return record
}

// released returns the row of a free role. It keeps the fencing number, which
// must not start again at 1.
func released(record RoleRecord) RoleRecord {
	record.Holder = ""
	record.Renewals++
	return record
}
