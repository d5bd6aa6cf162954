package cluster

import (
	"cmp"
	"slices"
	"time"

	"github.com/peppertrail/peppertrail/pkg/lease"
)

// holderRow is a decoded holder row.
type holderRow struct {
	version uint64 // table revision that wrote it
	record  lease.HolderRecord
}

// trackedHolder is a holder row and how long it has stayed the same.
type trackedHolder struct {
	holderRow
	age     time.Duration
	changed time.Time // when the row was last seen to change; zero if it never did
}

// tracker decides which daemons are live from successive scans of the holder
// rows. It does no I/O.
//
// The age of a row counts only the time between scans that succeeded, each at
// most maxGap. It is compared with the age of this daemon's own row. Otherwise
// an outage of the table, in which no daemon can renew, would make every daemon
// the home of all budgets.
type tracker struct {
	self   string // incarnation, empty for an observer without a row
	ttl    time.Duration
	maxGap time.Duration

	holders  map[string]trackedHolder
	lastScan time.Time
}

// observe takes the result of a scan that ended at now.
func (t *tracker) observe(rows []holderRow, now time.Time) {
	gap := time.Duration(0)
	if !t.lastScan.IsZero() {
		gap = min(now.Sub(t.lastScan), t.maxGap)
	}
	t.lastScan = now
	next := make(map[string]trackedHolder, len(rows))
	for _, row := range rows {
		holder := trackedHolder{holderRow: row}
		before, known := t.holders[row.record.Incarnation]
		switch {
		case known && before.record.Renewals == row.record.Renewals:
			holder.age = before.age + gap
			holder.changed = before.changed
		case known:
			holder.changed = now
		}
		next[row.record.Incarnation] = holder
	}
	t.holders = next
}

// changes returns when each row was last seen to change.
func (t *tracker) changes() map[string]time.Time {
	changes := make(map[string]time.Time, len(t.holders))
	for incarnation, h := range t.holders {
		if !h.changed.IsZero() {
			changes[incarnation] = h.changed
		}
	}
	return changes
}

// addrs returns the address of each row.
func (t *tracker) addrs() map[string]string {
	addrs := make(map[string]string, len(t.holders))
	for incarnation, h := range t.holders {
		addrs[incarnation] = h.record.PeerAddr
	}
	return addrs
}

// live returns the live daemons in order of address, at most one per address.
func (t *tracker) live() []Peer {
	byAddr := map[string]trackedHolder{}
	limit := t.ttl + t.holders[t.self].age
	for _, h := range t.holders {
		if h.record.Stopped || h.record.Fenced || h.age >= limit {
			continue
		}
		// A process that restarts on the same address leaves its former row
		// behind; the row written last is that of the present process.
		if other, ok := byAddr[h.record.PeerAddr]; !ok || h.version > other.version {
			byAddr[h.record.PeerAddr] = h
		}
	}
	peers := make([]Peer, 0, len(byAddr))
	for _, h := range byAddr {
		peers = append(peers, peerOf(h.record))
	}
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.Addr, b.Addr) })
	return peers
}
