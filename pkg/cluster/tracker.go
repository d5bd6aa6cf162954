package cluster

import (
	"cmp"
	"slices"
	"time"

	"github.com/peppertrail/peppertrail/pkg/lease"
)

// holderRow is a decoded holder row.
type holderRow struct {
	version uint64 // table revision at which the row was written
	record  lease.HolderRecord
}

// trackedHolder is a holder row and the time for which it has not changed.
type trackedHolder struct {
	holderRow
	age     time.Duration // time without a renewal, see tracker
	changed time.Time     // time of the scan that last showed a change; zero if none did
}

// tracker decides which daemons are live from successive scans of the holder
// rows. It does no I/O.
//
// The age of a row is the sum of the intervals between successful scans, each
// limited to maxGap. A daemon is live while the age of its row minus the age of
// this daemon's own row is less than the TTL. The ages are compared because no
// daemon can renew its row during a table outage: with a fixed limit for the age,
// each daemon would consider all others dead and itself the home of all budgets.
type tracker struct {
	self   string // incarnation of this daemon; empty for an observer without a holder row
	ttl    time.Duration
	maxGap time.Duration // most that one interval between scans adds to an age

	holders  map[string]trackedHolder // by incarnation
	lastScan time.Time
}

// observe records the result of a scan that ended at now.
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

// changes returns the time of the last observed change of each row, by
// incarnation. Rows without an observed change are omitted.
func (t *tracker) changes() map[string]time.Time {
	changes := make(map[string]time.Time, len(t.holders))
	for incarnation, h := range t.holders {
		if !h.changed.IsZero() {
			changes[incarnation] = h.changed
		}
	}
	return changes
}

// addrs returns the peer address in each row, by incarnation.
func (t *tracker) addrs() map[string]string {
	addrs := make(map[string]string, len(t.holders))
	for incarnation, h := range t.holders {
		addrs[incarnation] = h.record.PeerAddr
	}
	return addrs
}

// live returns the live daemons sorted by address, at most one per address.
func (t *tracker) live() []Peer {
	byAddr := map[string]trackedHolder{}
	limit := t.ttl + t.holders[t.self].age
	for _, h := range t.holders {
		if h.record.Stopped || h.record.Fenced || h.age >= limit {
			continue
		}
		// A process that restarts on the same address does not delete its
		// previous row; the row written last belongs to the current process.
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
