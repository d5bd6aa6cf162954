package escrow

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/peppertrail/peppertrail/pkg/pause"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

const (
	// hostRowInterval is the time between two writes of the own host row.
	// hostRowsPerSecond limits the writes of all hosts together, which go to one part
	// of the table and are read by every host.
	hostRowInterval   = 4 * time.Second
	hostRowsPerSecond = 50
	// hostRowTTL is the age at which a host counts as ended.
	hostRowTTL = leaseDuration
	// formerHostTTL is how long processes that have ended are remembered. It is longer than
	// the copy may be old from which the store returns.
	formerHostTTL = time.Minute
	// firstMembershipPause and maxMembershipPause bound the time between two reads of
	// the host rows. It is short at first, as many hosts may start together.
	firstMembershipPause = 200 * time.Millisecond
	maxMembershipPause   = 2 * time.Second
)

// hostRowParts are the parts to which a host may write its row. The second and third
// are used while the store's partition of the first is down.
var hostRowParts = []string{"0", "1", "2"}

// membership knows the hosts of the fleet from their rows. It is separate from the
// usage reports, whose volume on one host's link would grow with the number of hosts.
// The manager's mutex protects its fields.
type membership struct {
	rows   map[string]HostRow // by host
	readAt time.Duration      // store clock at the last read; rows do not age while the store cannot be read
	read   bool               // the rows were read at least once
	// complete means that the rows of all parts were read at least once.
	complete bool
	// restarted means that a recent row of an earlier process of this host was read: the other
	// hosts have counted this one as running all the time.
	restarted bool
	// former are processes whose rows were replaced or have expired.
	former []HostSeen
	// generation changes whenever a host joins, leaves or gets another address.
	generation int
}

// live reports whether a row is recent, as of the last read.
func (s *membership) live(r HostRow) bool { return r.age(s.readAt) <= hostRowTTL }

// runs reports whether a process of a host announced itself recently.
func (s *membership) runs(host, incarnation string) bool {
	r, known := s.rows[host]
	return known && r.Incarnation == incarnation && s.live(r)
}

// apply stores changed rows and drops those that are no longer recent.
func (s *membership) apply(rows []storage.PartRow, storeTime time.Duration) error {
	var failed error
	for _, row := range rows {
		if row.Deleted {
			continue // the row of another part may be in use
		}
		r, err := decodeHostRow(row.Value)
		if err != nil {
			failed = errors.Join(failed, err)
			continue
		}
		known, ok := s.rows[row.Key]
		if ok && known.StoreTimeMs > r.StoreTimeMs {
			continue
		}
		s.rows[row.Key] = r
		if ok && known.Incarnation != r.Incarnation {
			s.former = append(s.former, known.seen(row.Key))
		}
		if !ok || known.Addr != r.Addr {
			s.generation++
		}
	}
	s.readAt, s.read = max(s.readAt, storeTime), true
	for host, r := range s.rows {
		if !s.live(r) {
			delete(s.rows, host)
			s.former = append(s.former, r.seen(host))
			s.generation++
		}
	}
	s.former = slices.DeleteFunc(s.former, func(h HostSeen) bool { return s.readAt-h.At > formerHostTTL })
	return failed
}

// seen returns the processes that have announced themselves recently, those that have ended
// included.
func (s *membership) seen() []HostSeen {
	all := slices.Clone(s.former)
	for host, r := range s.rows {
		all = append(all, r.seen(host))
	}
	return all
}

// followMembership reads the host rows, then follows their changes.
func (m *Manager) followMembership(ctx context.Context) {
	version, scanned, wait := storage.Version{}, false, firstMembershipPause
	for ctx.Err() == nil {
		next, err := m.readMembership(ctx, version, scanned)
		switch {
		case err == nil:
			if !scanned || next.NewerThan(version) {
				version, scanned = next, true
			}
			longest := maxMembershipPause
			if m.options.HostRows.Shared() {
				longest = sharedMembershipPause
			}
			wait = min(wait, longest)
			pause.For(ctx, wait)
			wait = min(2*wait, maxMembershipPause)
		case errors.Is(err, storage.ErrHistoryGone):
			scanned = false
		default:
			m.options.Log.Debug().Err(err).Msg("Host rows could not be read. The known hosts stay in use and the read is repeated.")
			pause.For(ctx, maxResendDelay)
		}
	}
}

// readMembership reads all host rows, or those changed since a version. It returns the
// version after which the next read starts.
func (m *Manager) readMembership(ctx context.Context, since storage.Version, scanned bool) (version storage.Version, err error) {
	if scanned {
		timeout := feedWait
		if m.options.HostRows.Shared() {
			timeout += sharedReadTime
		}
		var page storage.RowPage
		version, err = m.readMembershipPage(ctx, timeout, func(ctx context.Context) (storage.RowPage, error) {
			var err error
			page, err = m.options.HostRows.Feed(ctx, m.options.HostTable, since, feedWait)
			return page, err
		})
		if err == nil {
			m.options.HostRows.Applied(page)
		}
		return version, err
	}
	return m.scanMembership(ctx)
}

// scanMembership reads the host rows of all parts. A part that is down is left out:
// its hosts write their rows to another part, which the feed returns.
func (m *Manager) scanMembership(ctx context.Context) (version storage.Version, err error) {
	scanned := false
	for _, part := range hostRowParts {
		partVersion, partErr := m.scanMembershipPart(ctx, part)
		if partErr != nil {
			err = errors.Join(err, partErr)
			continue
		}
		if !scanned {
			version, scanned = partVersion, true // the feed returns later changes of all parts
		}
	}
	if err == nil {
		m.mu.Lock()
		m.membership.complete = true
		m.mu.Unlock()
	}
	if scanned {
		return version, nil
	}
	return storage.Version{}, err
}

// completeMembership reads the host rows of all parts, unless that was done before. Without them
// this process may take itself for the only one.
func (m *Manager) completeMembership(ctx context.Context) error {
	if m.membershipComplete() {
		return nil
	}
	_, err := m.scanMembership(ctx)
	if !m.membershipComplete() {
		return errors.Join(errMembershipIncomplete, err)
	}
	return nil
}

func (m *Manager) membershipComplete() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.membership.complete
}

var errMembershipIncomplete = errors.New("host rows could not be read from all parts")

// scanMembershipPart reads the host rows of one part. It returns the version of its
// first page.
func (m *Manager) scanMembershipPart(ctx context.Context, part string) (version storage.Version, err error) {
	for from, more := "", true; more; {
		pageVersion, err := m.readMembershipPage(ctx, 0, func(ctx context.Context) (storage.RowPage, error) {
			page, err := m.options.HostRows.Range(ctx, m.options.HostTable, part, from)
			if more = page.More && len(page.Rows) > 0; more {
				from = page.Rows[len(page.Rows)-1].Key + "\x00"
			}
			return page, err
		})
		if err != nil {
			return storage.Version{}, err
		}
		if version == (storage.Version{}) {
			version = pageVersion
		}
	}
	return version, nil
}

func (m *Manager) readMembershipPage(ctx context.Context, wait time.Duration, read func(context.Context) (storage.RowPage, error)) (version storage.Version, err error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	sentAt := m.options.Clock()
	page, err := read(ctx)
	if err != nil {
		return storage.Version{}, err
	}
	if page.Now == 0 { // the clock is recorded only from answers of the store
		page.Now = m.sharedRowsTime()
	} else {
		m.mu.Lock()
		m.recordStoreTime(page.Now, sentAt, page.Era)
		m.mu.Unlock()
	}
	m.receiveNotes(page)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.membership.apply(page.Rows, page.Now); err != nil {
		m.options.Log.Error().Err(err).Msg("Host row cannot be decoded. Ignoring it.")
	}
	if own, listed := m.membership.rows[m.options.Host]; listed && own.Incarnation != m.options.Incarnation {
		m.membership.restarted = true
	}
	return page.Version, nil
}

// sharedRowsTime returns a time on the store's clock at which the rows that another host passes on
// now were those of the store, at the latest.
func (m *Manager) sharedRowsTime() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(1, m.estimatedStoreTime()-sharedRowsAge)
}

// receiveNotes passes on the notes in rows of other processes.
func (m *Manager) receiveNotes(page storage.RowPage) {
	if m.options.ReceiveNotes == nil {
		return
	}
	for _, row := range page.Rows {
		r, err := decodeHostRow(row.Value)
		if row.Deleted || err != nil || len(r.Notes) == 0 || r.Incarnation == m.options.Incarnation {
			continue // a row that cannot be decoded is logged where the hosts are read from it
		}
		m.options.ReceiveNotes(r.Notes, r.age(page.Now))
	}
}

// announceHost writes the own host row periodically.
func (m *Manager) announceHost(ctx context.Context) {
	for partIndex := 0; ctx.Err() == nil; {
		row, known := m.ownHostRow()
		if !known {
			pause.For(ctx, peerDiscoveryPoll)
			continue
		}
		key := storage.RowKey{Table: m.options.HostTable, Part: hostRowParts[partIndex], Key: m.options.Host}
		if err := m.putRow(ctx, key, row.encode()); err != nil {
			m.options.Log.Debug().Err(err).Msg("Host row could not be written. The write is repeated.")
			partIndex = (partIndex + 1) % len(hostRowParts)
			pause.For(ctx, maxResendDelay)
			continue
		}
		pause.For(ctx, max(hostRowInterval, time.Duration(m.Hosts())*time.Second/hostRowsPerSecond))
	}
}

// ownHostRow returns the row to write, and false while the store's clock is unknown, or the row
// of an earlier process of this host was not looked for, which it would replace.
func (m *Manager) ownHostRow() (HostRow, bool) {
	m.mu.Lock()
	row, known := HostRow{Incarnation: m.options.Incarnation, Addr: m.options.Addr, RequestAddr: m.options.RequestAddr, FailureDomain: m.options.FailureDomain, LinkMbps: m.options.LinkMbps, StoreTimeMs: m.estimatedStoreTime().Milliseconds()}, m.storeTimeReadAt != 0 && m.membership.read
	m.mu.Unlock()
	if known && m.options.Notes != nil {
		row.Notes = m.options.Notes()
	}
	return row, known
}

func (m *Manager) putRow(ctx context.Context, key storage.RowKey, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := m.options.Rows.Transact(ctx, storage.RowTxn{Puts: []storage.PartRow{{RowKey: key, Value: value}}})
	return err
}
