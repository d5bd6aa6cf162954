package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/peppertrail/peppertrail/pkg/lease"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

// homesKey is the rendezvous key by which the daemons that act as homes are
// selected. When one of them leaves, exactly one other daemon replaces it and
// only the budgets of the one that left move.
const homesKey = "homes"

const (
	// scanPageSize is the number of holder rows per scan call.
	scanPageSize = 500
	// minScanInterval is the shortest time between scans.
	minScanInterval = 500 * time.Millisecond
	// intervalPerRow limits the scan traffic to about 20 KB/s at about 290 bytes per row.
	intervalPerRow = 15 * time.Millisecond
	// maxGapScanIntervals limits how much the time between two scans adds to the
	// age of a row, as a multiple of Options.MaxScanInterval.
	maxGapScanIntervals = 2
)

// View is the set of live daemons as seen by this daemon. It is safe for
// concurrent use. While the table is unavailable, the result of the last
// successful scan stays in effect.
type View struct {
	opt              Options
	unreachablePeers unreachablePeers

	pollMu  sync.Mutex // held during Poll
	tracker tracker    // guarded by pollMu

	mu       sync.RWMutex
	peers    []Peer               // live daemons according to the table; replaced, never modified
	changed  map[string]time.Time // last observed change of each row, by incarnation; replaced, never modified
	addrs    map[string]string    // address of each daemon, live or not, by incarnation; replaced, never modified
	rows     int                  // number of holder rows in the last scan
	lastScan time.Time
}

// NewView returns a view that contains only this daemon until the first scan.
func NewView(opt Options) *View {
	opt = opt.withDefaults()
	v := &View{
		opt:              opt,
		unreachablePeers: unreachablePeers{duration: opt.UnreachableTimeout, until: map[string]time.Time{}},
		tracker: tracker{
			self:   opt.Self.Incarnation,
			ttl:    opt.TTL,
			maxGap: maxGapScanIntervals * opt.MaxScanInterval,
		},
	}
	v.peers = v.includeSelf(nil)
	return v
}

// Run scans the holder rows until ctx is done. The time between scans grows
// with the number of rows up to Options.MaxScanInterval, so that a small fleet detects
// a new daemon within a second and a large fleet stays within its traffic limit.
func (v *View) Run(ctx context.Context) {
	for ctx.Err() == nil {
		_ = v.Poll(ctx) // on failure the last scan stays in effect; LastScan returns its time
		select {
		case <-time.After(v.scanDelay()):
		case <-ctx.Done():
		}
	}
}

// scanDelay returns the time until the next scan.
func (v *View) scanDelay() time.Duration {
	v.mu.RLock()
	rows := v.rows
	v.mu.RUnlock()
	return min(v.opt.MaxScanInterval, max(minScanInterval, time.Duration(rows)*intervalPerRow))
}

// Poll scans the holder rows once. If the scan fails, it returns the error and
// leaves the view unchanged.
func (v *View) Poll(ctx context.Context) error {
	v.pollMu.Lock()
	defer v.pollMu.Unlock()
	rows, err := v.scanHolderRows(ctx)
	if err != nil {
		return fmt.Errorf("scan holder rows: %w", err)
	}
	now := time.Now()
	v.tracker.observe(v.decode(rows), now)
	peers := v.includeSelf(v.tracker.live())
	changed, addrs := v.tracker.changes(), v.tracker.addrs()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.peers = peers
	v.changed = changed
	v.addrs = addrs
	v.rows = len(rows)
	v.lastScan = now
	return nil
}

// LastScan returns the time at which the last successful scan ended, or the
// zero time before the first.
func (v *View) LastScan() time.Time {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.lastScan
}

// MarkUnreachable excludes a peer that this daemon just failed to reach from the
// results of Peers and HomeCandidates for Options.UnreachableTimeout. This daemon
// itself is never excluded.
func (v *View) MarkUnreachable(incarnation string) {
	if incarnation == v.opt.Self.Incarnation {
		return
	}
	v.unreachablePeers.add(incarnation, time.Now())
}

// LastChange returns the time at which this daemon last observed a change of
// the row of an incarnation, and false if it observed none. Unlike the age that
// determines liveness, the time since LastChange includes periods in which the
// table could not be read.
func (v *View) LastChange(incarnation string) (time.Time, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	at, ok := v.changed[incarnation]
	return at, ok
}

// Live returns the daemons that are live according to the table, including
// those excluded as unreachable.
func (v *View) Live() []Peer {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.peers
}

// Peers returns the live daemons of all regions. It includes this daemon and
// excludes unreachable ones.
func (v *View) Peers() []Peer {
	v.mu.RLock()
	peers := v.peers
	v.mu.RUnlock()
	return v.unreachablePeers.exclude(peers, time.Now())
}

// LiveAddr returns the address of a daemon that is live according to the table,
// whether or not it is excluded as unreachable.
func (v *View) LiveAddr(incarnation string) (addr string, live bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	for _, p := range v.peers {
		if p.Incarnation == incarnation {
			return p.Addr, true
		}
	}
	return "", false
}

// RegisteredAddr returns the address in the holder row of a daemon, live or not.
// It returns false if the last scan did not contain the row.
func (v *View) RegisteredAddr(incarnation string) (addr string, ok bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	addr, ok = v.addrs[incarnation]
	return addr, ok
}

// HomeCandidates returns the candidates for the home of a budget among the live daemons
// of the region, in order of preference: the first is the home, and the next
// takes over if it cannot be reached. The result is empty if the region has no
// live daemon.
func (v *View) HomeCandidates(budget, region string) []Peer {
	return rank(budget, v.homes(region))
}

// homes returns the live daemons of the region that act as homes.
func (v *View) homes(region string) []Peer {
	peers := slices.DeleteFunc(v.Peers(), func(p Peer) bool { return p.Region != region })
	if v.opt.Homes <= 0 || len(peers) <= v.opt.Homes {
		return peers
	}
	return rank(homesKey, peers)[:v.opt.Homes]
}

func (v *View) scanHolderRows(ctx context.Context) ([]storage.Row, error) {
	var all []storage.Row
	after := ""
	for {
		rows, err := v.opt.Table.Scan(ctx, lease.HolderPrefix, after, scanPageSize)
		if err != nil {
			return nil, err
		}
		all = append(all, rows...)
		if len(rows) < scanPageSize {
			return all, nil
		}
		after = rows[len(rows)-1].Key
	}
}

func (v *View) decode(rows []storage.Row) []holderRow {
	decoded := make([]holderRow, 0, len(rows))
	for _, row := range rows {
		var record lease.HolderRecord
		err := json.Unmarshal(row.Value, &record)
		if err == nil && lease.HolderKey(record.Incarnation) != row.Key {
			err = fmt.Errorf("row key does not match the incarnation %q in its value", record.Incarnation)
		}
		if err != nil {
			v.opt.OnBadRow(row.Key, err)
			continue
		}
		decoded = append(decoded, holderRow{version: row.Version, record: record})
	}
	return decoded
}

// includeSelf adds this daemon to peers if it is missing. A peer with the same
// address, which is a previous incarnation, is replaced.
func (v *View) includeSelf(peers []Peer) []Peer {
	self := peerOf(v.opt.Self)
	if self.Incarnation == "" {
		return peers
	}
	for i, p := range peers {
		if p.Incarnation == self.Incarnation {
			return peers
		}
		if p.Addr == self.Addr {
			peers[i] = self
			return peers
		}
	}
	return append(peers, self)
}
