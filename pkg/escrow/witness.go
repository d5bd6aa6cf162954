package escrow

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/peppertrail/peppertrail/pkg/pause"
	"github.com/peppertrail/peppertrail/pkg/rendezvous"
)

const (
	// requiredWitnesses is the number of other hosts that must be told a usage report before it
	// allows its process to spend. If the store returns from a copy that lacks the report, a
	// host that dies together with all but one of its witnesses leaves one who knows it.
	requiredWitnesses = 2
	// witnessTimeout bounds one call that tells a report; a reachable host answers within
	// milliseconds. Others are told after it.
	witnessTimeout = 150 * time.Millisecond
	// witnessRetryDelay is how long a host that did not answer is told last.
	witnessRetryDelay = 2 * time.Second
	// untoldAfter is the time after which a host that was not told a report notices: its last one
	// is older than the rows of the process by more than signOfLifeInterval. A report then counts
	// with fewer witnesses, so that a process that reaches the store but too few hosts goes on.
	// It is within the lease.
	untoldAfter = 2*signOfLifeInterval + time.Second
	// fewWitnessesDelay is how long a process tries to find more witnesses before that.
	fewWitnessesDelay = time.Second
)

// witnessing is what a process knows as a witness of others, and of its own witnesses. The
// manager's mutex protects it.
type witnessing struct {
	reports map[string]UsageReport   // last reports that other processes have told, by incarnation
	retryAt map[string]time.Duration // by address of a witness; it is told last before this time
	toldAt  map[string]time.Duration // local clock when the last report that a host was told was sent, by host
}

func newWitnessing() witnessing {
	return witnessing{reports: make(map[string]UsageReport), retryAt: make(map[string]time.Duration), toldAt: make(map[string]time.Duration)}
}

// RecordReport records a usage report that another process tells. If the store returns from a
// copy without the report, this host knows it.
func (m *Manager) RecordReport(report UsageReport) error {
	if err := report.validate(); err != nil {
		m.options.Log.Warn().Err(err).Str("peer", report.Host).Msg("Usage report of another host rejected.")
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noteEra(report.Era)
	if known, ok := m.witnessing.reports[report.Incarnation]; ok && known.Number >= report.Number {
		return nil
	}
	now := m.estimatedStoreTime()
	for incarnation, r := range m.witnessing.reports {
		if r.age(now) > peerReportTTL {
			delete(m.witnessing.reports, incarnation)
		}
	}
	m.witnessing.reports[report.Incarnation] = report
	return nil
}

// requiresWitnesses reports whether reports count only once other hosts know them: not if the
// store names no era, as it then never returns from a copy.
func (m *Manager) requiresWitnesses() bool {
	return m.options.TellReport != nil && m.returns.era > 0
}

// witnessHost is another host that may be told a usage report.
type witnessHost struct {
	name, addr string
	failed     bool // it did not answer a short while ago
	score      uint64
}

// compare orders hosts by whether they answer, and then by their scores.
func (h witnessHost) compare(other witnessHost) int {
	switch {
	case h.failed && !other.failed:
		return 1
	case !h.failed && other.failed:
		return -1
	}
	return cmp.Compare(other.score, h.score)
}

// witnessHosts returns the other running hosts in the order in which they are told the reports
// of this one.
func (m *Manager) witnessHosts() []witnessHost {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.requiresWitnesses() {
		return nil
	}
	now := m.options.Clock()
	var hosts []witnessHost
	for name, row := range m.membership.rows {
		if name != m.options.Host && row.Addr != "" {
			hosts = append(hosts, witnessHost{name, row.Addr, now < m.witnessing.retryAt[row.Addr], rendezvous.Score(m.options.Host, name)})
		}
	}
	slices.SortFunc(hosts, witnessHost.compare)
	return hosts
}

// countsWithFewWitnesses reports whether a report counts although too few hosts were told it: all
// others notice that they were not told.
func (m *Manager) countsWithFewWitnesses(sentAt time.Duration, hosts []witnessHost, told map[string]bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Clock()
	if now-sentAt < fewWitnessesDelay {
		return false
	}
	return !slices.ContainsFunc(hosts, func(h witnessHost) bool {
		at, ever := m.witnessing.toldAt[h.name]
		return !told[h.name] && ever && now-at < untoldAfter
	})
}

// witness tells a report to other hosts until as many know it as are required, or all running
// ones if there are fewer, or it counts without. It returns early if ctx ends.
func (m *Manager) witness(ctx context.Context, report UsageReport) {
	sentAt := m.options.Clock()
	told := make(map[string]bool)
	delay := firstResendDelay
	for ctx.Err() == nil {
		hosts := m.witnessHosts()
		lacking := min(requiredWitnesses, len(hosts)) - len(told)
		if lacking <= 0 {
			return
		}
		if m.countsWithFewWitnesses(sentAt, hosts, told) {
			m.options.Log.Info().Int64("report", report.Number).Int("witnesses", len(told)).Msg("Usage report counts with too few witnesses: other hosts cannot be told.")
			return
		}
		hosts = slices.DeleteFunc(hosts, func(h witnessHost) bool { return told[h.name] })
		before := len(told)
		for asked := range slices.Chunk(hosts, lacking) {
			for _, host := range m.tell(ctx, asked, report) {
				told[host] = true
				m.recordTold(host, sentAt)
			}
			if len(told) > before || ctx.Err() != nil {
				break
			}
		}
		if len(told) == before {
			pause.For(ctx, delay)
			delay = min(2*delay, maxResendDelay)
		}
	}
}

// recordTold records that a host was told a report that was sent at a time.
func (m *Manager) recordTold(host string, sentAt time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.witnessing.toldAt[host] = sentAt
}

// tell tells a report to some hosts at once and returns those that have answered.
func (m *Manager) tell(ctx context.Context, hosts []witnessHost, report UsageReport) []string {
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	results := make(chan string, len(hosts))
	for _, host := range hosts {
		go func() {
			if err := m.options.TellReport(ctx, host.addr, report); err != nil {
				m.recordSilentWitness(host, err)
				results <- ""
				return
			}
			results <- host.name
		}()
	}
	var told []string
	for range hosts {
		if name := <-results; name != "" {
			told = append(told, name)
		}
	}
	return told
}

// recordSilentWitness records that a host did not answer.
func (m *Manager) recordSilentWitness(host witnessHost, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !host.failed {
		m.options.Log.Info().Err(err).Str("peer", host.name).Msg("Another host could not be told a usage report. Others are told.")
	}
	m.witnessing.retryAt[host.addr] = m.options.Clock() + witnessRetryDelay
}

// errNoWitness is the reason why a report that is stored does not count yet.
var errNoWitness = fmt.Errorf("%w: too few other hosts were told the usage report", ErrUnreachable)
