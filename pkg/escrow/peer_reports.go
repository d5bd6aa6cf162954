package escrow

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/peppertrail/peppertrail/pkg/pause"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

// feedLookback is how many versions of the store before the current one the first
// read of the feed starts. These versions cover a few seconds, in which every host
// that spends has reported.
const feedLookback = 3000

// followReports reads the usage reports of other hosts from the feed while every host
// changes the accounts itself. In a larger fleet the reports would fill the link of a
// weak host; there the holders of shares send their usage to the broker.
//
// It does not scan the table, and after a failed read it continues with the newest
// version: every host reports again within idleReportInterval, and repeating a read
// that was too large for its time limit would read even more.
func (m *Manager) followReports(ctx context.Context) {
	m.awaitMembership(ctx)
	version, started, lookback := storage.Version{}, false, uint64(feedLookback)
	for ctx.Err() == nil {
		if !m.readsReports() {
			started, lookback = false, 0
			pause.For(ctx, feedInterval)
			continue
		}
		if !started {
			newest, err := m.currentFeedVersion(ctx)
			if err != nil {
				pause.For(ctx, feedInterval)
				continue
			}
			newest.Number -= min(newest.Number, lookback)
			version, started = newest, true
		}
		page, err := m.readFeed(ctx, version)
		switch {
		case err != nil:
			m.options.Log.Debug().Err(err).Uint64("version", version.Number).Msg("Usage reports of other hosts could not be read. Continuing with the newest ones.")
			started, lookback = false, 0
			pause.For(ctx, firstResendDelay)
		default:
			if page.NewerThan(version) {
				version = page.Version
			}
			if !page.More {
				pause.For(ctx, feedInterval)
			}
		}
	}
}

// readsReports reports whether this host reads the usage reports of all others.
func (m *Manager) readsReports() bool {
	return m.options.RequestShare == nil || m.Hosts() <= maxDirectHosts
}

// awaitMembership waits until the host rows were read: until then this process knows no
// other host, although the fleet may be a large one.
func (m *Manager) awaitMembership(ctx context.Context) {
	for m.options.RequestShare != nil && ctx.Err() == nil && !m.MembershipRead() {
		pause.For(ctx, peerDiscoveryPoll)
	}
}

// Restarted reports whether the other hosts have counted this one as running before this
// process started.
func (m *Manager) Restarted() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.membership.restarted
}

// Announced reports whether a recent row of this host was read, so that other hosts can know it.
func (m *Manager) Announced() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, listed := m.membership.rows[m.options.Host]
	return listed
}

// MembershipRead reports whether the rows of the other hosts were read at least once.
func (m *Manager) MembershipRead() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.membership.read
}

// currentFeedVersion returns the current version of the feed. It also records
// the store's clock. Any part of the table answers with both, so a part that is
// down does not keep the process from starting.
func (m *Manager) currentFeedVersion(ctx context.Context) (version storage.Version, err error) {
	for _, suffix := range reportPartSuffixes {
		var page storage.RowPage
		page, err = m.readReportPart(ctx, m.options.Host+suffix)
		if err == nil {
			return page.Version, nil
		}
	}
	return storage.Version{}, err
}

// readReportPart reads one part of the table of usage reports. It also records the
// store's clock.
func (m *Manager) readReportPart(ctx context.Context, part string) (storage.RowPage, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := m.options.Clock()
	page, err := m.options.Rows.Range(ctx, m.options.UsageTable, part, "")
	if err != nil {
		return page, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordStoreTime(page.Now, sentAt, page.Era)
	return page, nil
}

// feedWait is how long a read of the feed waits for a new report.
const feedWait = 500 * time.Millisecond

// readFeed stores the usage reports that the feed contains after a version.
func (m *Manager) readFeed(ctx context.Context, since storage.Version) (storage.RowPage, error) {
	ctx, cancel := context.WithTimeout(ctx, feedWait+callTimeout)
	defer cancel()
	page, err := m.options.Rows.Feed(ctx, m.options.UsageTable, since, feedWait)
	if err != nil {
		return page, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, row := range page.Rows {
		m.storePeerReport(row)
	}
	return page, nil
}

func (m *Manager) storePeerReport(row storage.PartRow) {
	if row.Deleted {
		delete(m.peerReports, row.Key)
		return
	}
	report, err := decodeUsage(row.Value)
	if err != nil {
		m.options.Log.Error().Err(err).Str("row", row.Part+" "+row.Key).Msg("Usage report cannot be decoded. Ignoring it.")
		return
	}
	m.recordPeerReport(report)
}

// recordPeerReport records the report of another process if it is newer than the known one.
func (m *Manager) recordPeerReport(report UsageReport) {
	if report.Incarnation == m.options.Incarnation {
		return
	}
	if known, ok := m.peerReports[report.Incarnation]; ok && known.Number >= report.Number {
		return
	}
	m.peerReports[report.Incarnation] = report
	if report.Host != m.options.Host {
		delete(m.endedProcesses, report.Incarnation) // a process that was paused and runs again gets new shares
	}
	for customer, u := range report.Customers {
		if p := m.pools[customer]; p != nil && u.ShortageTokens > 0 {
			p.trigger() // this host may hold tokens that the other host lacks
		}
	}
}

const (
	// reclaimInterval is the time between two checks for shares of hosts that
	// no longer report.
	reclaimInterval = 5 * time.Second
	// peerReportTTL is the age at which the last report of another process is
	// dropped.
	peerReportTTL = 2 * time.Minute
)

// runReclaim finds the shares of hosts that no longer report, and removes the
// reports of this host's ended processes once their shares are closed.
func (m *Manager) runReclaim(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, reclaimInterval)
		for _, host := range m.hostsNotReporting() {
			reports, err := m.readReports(ctx, host)
			if err != nil {
				m.options.Log.Info().Str("holder", host).Err(err).Msg("Could not read the last usage reports of a host that no longer reports. Retrying at the next interval.")
				continue
			}
			m.markEnded(reports)
		}
		m.removeReports(ctx)
	}
}

// hostsNotReporting returns the other hosts with a share whose process does not
// announce itself and has no known report within leaseDuration and reclaimMargin
// together. It also drops reports older than peerReportTTL.
func (m *Manager) hostsNotReporting() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	notReporting := make(map[string]struct{})
	now := m.estimatedStoreTime()
	for incarnation, r := range m.peerReports {
		if r.age(now) > peerReportTTL {
			delete(m.peerReports, incarnation)
		}
	}
	for _, p := range m.pools {
		if p.brokerReply != nil {
			continue // the broker reclaims shares of this account
		}
		for _, s := range p.account.Shares {
			_, ended := m.endedProcesses[s.Incarnation]
			report, known := m.peerReports[s.Incarnation]
			if s.Host == m.options.Host || ended || m.membership.runs(s.Host, s.Incarnation) || (known && report.age(now) <= leaseDuration+reclaimMargin) {
				continue
			}
			notReporting[s.Host] = struct{}{}
		}
	}
	return slices.Sorted(maps.Keys(notReporting))
}

// markEnded records the processes whose lease has expired, whether they still
// run or not. The reports are the newest ones, since all parts of the host
// were read.
func (m *Manager) markEnded(reports map[string]UsageReport) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.estimatedStoreTime()
	for incarnation, r := range reports {
		if r.age(now) > leaseDuration+reclaimMargin {
			r.Complete = false // a process that still runs may have shares that are newer than the report
			m.endedProcesses[incarnation] = EndedProcess{Report: r, EndedBy: now}
		} else if known := m.peerReports[incarnation]; known.Number < r.Number {
			m.peerReports[incarnation] = r
		}
	}
	for _, p := range m.pools {
		p.trigger()
	}
}

// removeReports deletes the reports of ended processes of this host whose
// shares are all closed.
func (m *Manager) removeReports(ctx context.Context) {
	for _, incarnation := range m.closedProcesses() {
		err := m.removeReport(ctx, incarnation)
		if err != nil {
			m.options.Log.Info().Err(err).Str("incarnation", incarnation).Msg("Removing the usage report of an ended process failed. Retrying at the next interval.")
			continue
		}
		m.mu.Lock()
		delete(m.endedProcesses, incarnation)
		m.mu.Unlock()
	}
}

// closedProcesses returns the ended processes of this host whose shares are all closed.
func (m *Manager) closedProcesses() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var closed []string
	for incarnation, e := range m.endedProcesses {
		if e.Report.Host == m.options.Host && m.allClosed(incarnation, e) {
			closed = append(closed, incarnation)
		}
	}
	return closed
}

func (m *Manager) allClosed(incarnation string, e EndedProcess) bool {
	for _, p := range m.pools {
		if p.mayHoldShare(e) && !p.closedHere(incarnation) {
			return false
		}
	}
	return true
}

func (m *Manager) removeReport(ctx context.Context, incarnation string) error {
	for _, suffix := range reportPartSuffixes {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		key := storage.RowKey{Table: m.options.UsageTable, Part: m.options.Host + suffix, Key: incarnation}
		_, err := m.options.Rows.Transact(ctx, storage.RowTxn{Removes: []storage.RowKey{key}})
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}

// NoteShortage records that a request on another host lacks tokens of a
// customer. repeated: it still lacks them after it was announced before.
func (m *Manager) NoteShortage(customer string, repeated bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.pools[customer]; p != nil {
		p.peerShortageAt = p.now()
		if repeated {
			p.repeatedShortageAt = p.peerShortageAt
		}
		p.trigger()
	}
}

// loadPredecessors reads the last reports of earlier processes of this host.
// They have ended, since this process runs in their place.
func (m *Manager) loadPredecessors(ctx context.Context) {
	for ctx.Err() == nil {
		reports, err := m.readReports(ctx, m.options.Host)
		if err == nil {
			m.mu.Lock()
			for incarnation, r := range reports {
				if incarnation != m.options.Incarnation {
					m.hasPredecessor = true
					m.endedProcesses[incarnation] = EndedProcess{Report: r, EndedBy: m.startStoreTime}
				}
			}
			for _, p := range m.pools {
				p.trigger()
			}
			m.mu.Unlock()
			return
		}
		m.options.Log.Warn().Err(err).Msg("Reading the usage reports of earlier processes failed. Retrying.")
		pause.For(ctx, maxResendDelay)
	}
}

// readReports returns the newest report of each process of a host, without the limits of those
// of which the store may have lost a later one.
func (m *Manager) readReports(ctx context.Context, host string) (map[string]UsageReport, error) {
	reports, err := m.readStoredReports(ctx, host)
	m.mu.Lock()
	defer m.mu.Unlock()
	for incarnation, r := range reports {
		if r.isOutdated(m.returns.era) {
			reports[incarnation] = r.withoutLimits()
		}
	}
	return reports, err
}

// readStoredReports returns the newest report of each process of a host that is stored. All
// parts must answer, since any of them may have the newest report.
func (m *Manager) readStoredReports(ctx context.Context, host string) (map[string]UsageReport, error) {
	reports := make(map[string]UsageReport)
	for _, suffix := range reportPartSuffixes {
		page, err := m.readReportPart(ctx, host+suffix)
		if err != nil {
			return nil, err
		}
		for _, row := range page.Rows {
			report, err := decodeUsage(row.Value)
			if err != nil {
				return nil, err
			}
			if known, ok := reports[report.Incarnation]; !ok || report.Number >= known.Number {
				reports[report.Incarnation] = report
			}
		}
	}
	return reports, nil
}
