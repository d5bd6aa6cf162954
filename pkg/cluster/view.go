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

// homesKey is the key whose rendezvous order decides which daemons are homes,
// so that one that leaves is replaced by one other and moves only its budgets.
const homesKey = "homes"

const (
	// scanPage is the number of rows per scan call.
	scanPageSize = 500
	// minInterval is the least time between scans.
	minScanInterval = 500 * time.Millisecond
	// intervalPerRow keeps a scan of about 290 bytes per row at 20 KB/s.
	intervalPerRow = 15 * time.Millisecond
	// maxGapIntervals is the part of a longer gap between scans that counts, in intervals.
	maxGapScanIntervals = 2
)

// View is the set of live daemons as this daemon sees them. It is safe for
// concurrent use. While the table is unavailable it keeps the last set.
type View struct {
	opt              Options
	unreachablePeers unreachablePeers

	pollMu  sync.Mutex // held during Poll
	tracker tracker    // guarded by pollMu

	mu       sync.RWMutex
	peers    []Peer               // live by the table, not modified after it was set
	changed  map[string]time.Time // by incarnation, not modified after it was set
	addrs    map[string]string    // by incarnation, also of daemons that are not live; not modified after it was set
	rows     int                  // holder rows at the last scan
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
			maxGap: maxGapScanIntervals * opt.Interval,
		},
	}
	v.peers = v.includeSelf(nil)
	return v
}

// Run scans the holder rows until ctx ends. The time between scans grows with
// the number of rows up to the interval, so that a small fleet learns of a new
// daemon within a second and a large one stays within its bytes per second.
func (v *View) Run(ctx context.Context) {
	for ctx.Err() == nil {
		_ = v.Poll(ctx) // the last set stays; LastScan shows its age
		select {
		case <-time.After(v.scanDelay()):
		case <-ctx.Done():
		}
	}
}

// pause returns the time until the next scan.
func (v *View) scanDelay() time.Duration {
	v.mu.RLock()
	rows := v.rows
	v.mu.RUnlock()
	return min(v.opt.Interval, max(minScanInterval, time.Duration(rows)*intervalPerRow))
}

// Poll scans the holder rows once. It returns the error of the table, which
// leaves the view as it was.
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

// LastScan returns when the last successful scan ended, zero before the first.
func (v *View) LastScan() time.Time {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.lastScan
}

// Unreachable leaves a peer that this daemon just failed to reach out of the
// view for Options.Ignore. This daemon itself is never left out.
func (v *View) Unreachable(incarnation string) {
	if incarnation == v.opt.Self.Incarnation {
		return
	}
	v.unreachablePeers.add(incarnation, time.Now())
}

// LastChange returns when this daemon last saw the row of an incarnation
// change, false if it never did. Unlike the age that decides about liveness it
// counts the time in which the table could not be read.
func (v *View) LastChange(incarnation string) (time.Time, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	at, ok := v.changed[incarnation]
	return at, ok
}

// Live returns the live daemons by the table, also those left out as unreachable.
func (v *View) Live() []Peer {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.peers
}

// Peers returns the live daemons of all regions, this one included, without the unreachable ones.
func (v *View) Peers() []Peer {
	v.mu.RLock()
	peers := v.peers
	v.mu.RUnlock()
	return v.unreachablePeers.exclude(peers, time.Now())
}

// Holder returns the address of a daemon that the table shows as live, whether
// or not it is left out as unreachable.
func (v *View) Holder(incarnation string) (addr string, live bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	for _, p := range v.peers {
		if p.Incarnation == incarnation {
			return p.Addr, true
		}
	}
	return "", false
}

// Registered returns the address in the row of a daemon, live or not. It
// returns false for one whose row was not in the last scan.
func (v *View) Registered(incarnation string) (addr string, ok bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	addr, ok = v.addrs[incarnation]
	return addr, ok
}

// Home returns the live daemons of the region in the order in which they are
// the home of the budget: the first is the home, the next takes over if it
// cannot be reached. The result is empty if the region has no live daemon.
func (v *View) Home(budget, region string) []Peer {
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
			err = fmt.Errorf("row names incarnation %q", record.Incarnation)
		}
		if err != nil {
			v.opt.OnBadRow(row.Key, err)
			continue
		}
		decoded = append(decoded, holderRow{version: row.Version, record: record})
	}
	return decoded
}

// withSelf replaces what the table says of this daemon's address by this daemon.
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
