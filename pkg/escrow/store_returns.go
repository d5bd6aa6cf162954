package escrow

import (
	"time"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

// storeReturns is what this process knows of the store's eras. The manager's mutex protects it.
type storeReturns struct {
	answered bool          // an answer of the store was received
	era      uint64        // newest era of all answers
	returned bool          // a later era than that of the first answer was seen
	since    time.Duration // local clock when the era was first seen
	// copySince is a time on the store's clock: what was written until then is in the copy
	// from which the store has returned last. 0: unknown.
	copySince time.Duration
}

// firstEra is the era of a store that has never returned from a copy. In later ones, a row that
// is absent may be lost.
const firstEra = 1

// noteEra records the era of an answer of the store, or of another host. In a new era the
// shares of all accounts have to be recovered: the copy from which the store has returned may
// lack what was granted last. The caller holds the manager's mutex.
func (m *Manager) noteEra(era uint64) {
	s := &m.returns
	previous, began := s.era, s.answered && era > s.era
	if !s.answered || era > s.era {
		s.since = m.options.Clock()
	}
	s.answered, s.era = true, max(s.era, era)
	if !began {
		return
	}
	s.returned, s.copySince = true, 0
	accounts := 0
	for _, p := range m.pools {
		if p.enterEra() {
			accounts++
		}
	}
	m.options.Log.Warn().Uint64("era", era).Uint64("previous_era", previous).Int("accounts", accounts).
		Msg("Store has returned from an older copy. The accounts grant nothing until their shares are recovered; this host spends what it holds.")
	m.notifyWaiters()
}

// noteCopiedReport records that the copy from which the store has returned has a report of
// this process.
func (m *Manager) noteCopiedReport(r UsageReport) {
	if r.isOutdated(m.returns.era) {
		m.returns.copySince = max(m.returns.copySince, r.sentAt())
	}
}

// isLost reports whether the store may have lost what was read or written in an era. A process
// of an earlier release names none.
func (m *Manager) isLost(era uint64) bool {
	return era < m.returns.era && (era != 0 || m.returns.returned)
}

// lacksShares reports whether shares may be missing from an account as read from the store:
// it was written in an earlier era, or its row may be lost.
func (m *Manager) lacksShares(a Account, version storage.Version) bool {
	switch {
	case version.Era == 0 || a.Era == version.Era:
		return false
	case a.Era != 0:
		return true
	case version.Number == 0:
		return m.returns.returned || version.Era > firstEra
	}
	return m.returns.returned // written by an earlier release
}
