package escrow

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

const (
	// maxMissingHosts is the number of hosts that may be missing among those that say what they
	// know of an account. A report counts only once requiredWitnesses other hosts know it, so
	// one of them is left.
	maxMissingHosts = requiredWitnesses
	// signOfLifeInterval is longer than a running process goes without writing a row that
	// other hosts read, and than it takes until they know of it.
	signOfLifeInterval = idleReportInterval + 2*time.Second
	// maxRecoveryTime is the time after which an account is recovered although too many hosts
	// are missing: the leases of their processes are over.
	maxRecoveryTime = leaseDuration + reclaimMargin
)

// accountRecovery puts an account together again after the store has returned from a copy that
// may lack what was written to it last. It does no I/O.
type accountRecovery struct {
	customer string
	prepaid  int64         // prepaid total in tokens
	began    time.Duration // store's clock when this host noticed the return
	copied   Account       // account in the store, from the copy
	replies  []RecallReply // of all hosts that have answered, this one included
	hosts    []HostSeen    // processes that have announced themselves
	reports  []UsageReport // in the copy, of processes that have not answered
}

// HostSeen is a process that has announced itself, and when it last did.
type HostSeen struct {
	Host, Incarnation string
	At                time.Duration // on the store's clock
}

// newest returns the newest state of the account that any host knows, or the one of the copy.
func (r accountRecovery) newest() Account {
	// The number of the copy's row is not comparable if the row was written again after the
	// return by a call that was on its way. The state before it is what the row's Base tells.
	account, version := r.copied, storage.Version{Era: r.copied.Era, Number: r.copied.Base + 1}
	for _, reply := range r.replies {
		known := storage.Version{Era: reply.Version.Era, Number: reply.Version.Number}
		if reply.Account != nil && !version.NewerThan(known) {
			account, version = *reply.Account, known
		}
	}
	return account.clone()
}

// copySince returns a time on the store's clock until which the copy has all that was written.
// A copy of which no process finds a report of its own is older than their reports.
func (r accountRecovery) copySince() time.Duration {
	since := int64(0)
	for _, reply := range r.replies {
		since = max(since, reply.CopySinceMs)
	}
	if since == 0 {
		return r.began - formerHostTTL
	}
	return time.Duration(since) * time.Millisecond
}

// lastReports returns the newest known report of each process that has not answered.
func (r accountRecovery) lastReports() map[string]UsageReport {
	newest := make(map[string]UsageReport)
	consider := func(reports []UsageReport) {
		for _, report := range reports {
			if known, ok := newest[report.Incarnation]; !ok || known.Number < report.Number {
				newest[report.Incarnation] = report
			}
		}
	}
	consider(r.reports)
	for _, reply := range r.replies {
		consider(reply.Reports)
	}
	for _, reply := range r.replies {
		delete(newest, reply.Incarnation)
	}
	return newest
}

// ranSinceCopy reports whether a process may have run after the copy was taken. One that has
// answered and was started before in its place ended it.
func (r accountRecovery) ranSinceCopy(h HostSeen) bool {
	since := r.copySince()
	if h.At+signOfLifeInterval < since {
		return false
	}
	return !slices.ContainsFunc(r.replies, func(reply RecallReply) bool {
		return reply.Host == h.Host && reply.startedAt() <= since
	})
}

// unanswered returns the processes that have not answered, by incarnation, and when each was
// last seen, by its row or its reports.
func (r accountRecovery) unanswered() map[string]HostSeen {
	processes := make(map[string]HostSeen)
	consider := func(h HostSeen) {
		if known, ok := processes[h.Incarnation]; !ok || known.At < h.At {
			processes[h.Incarnation] = h
		}
	}
	for _, h := range r.hosts {
		consider(h)
	}
	for _, report := range r.lastReports() {
		consider(HostSeen{Host: report.Host, Incarnation: report.Incarnation, At: report.sentAt()})
	}
	for _, reply := range r.replies {
		delete(processes, reply.Incarnation)
	}
	return processes
}

// missing returns the hosts with a process that may have written something that the copy lacks,
// and has not answered.
func (r accountRecovery) missing() []string {
	hosts := make(map[string]struct{})
	for _, h := range r.unanswered() {
		if r.ranSinceCopy(h) {
			hosts[h.Host] = struct{}{}
		}
	}
	return slices.Sorted(maps.Keys(hosts))
}

// isComplete reports whether the last reports of all missing processes are known. One that the
// copy lacks was told to two other hosts: one of them has answered if at most one other host is
// missing. A process that could not tell its reports was seen long after it last did.
func (r accountRecovery) isComplete() bool {
	for _, h := range r.unanswered() {
		if r.ranSinceCopy(h) && r.toldAt(h.Incarnation)+signOfLifeInterval < h.At {
			return false
		}
	}
	return len(r.missing()) <= maxMissingHosts
}

// toldAt returns the store's clock of the last report that a process has told any host that has
// answered; long ago if it has told none.
func (r accountRecovery) toldAt(incarnation string) time.Duration {
	at := int64(math.MinInt32)
	for _, reply := range r.replies {
		if ms, ok := reply.ToldMs[incarnation]; ok {
			at = max(at, ms)
		}
	}
	return time.Duration(at) * time.Millisecond
}

// account returns the account with all shares from which tokens may have been spent. Those of
// processes that have not answered have the amount that their last known reports allow, which
// nobody settles for less.
func (r accountRecovery) account() Account {
	account := r.newest()
	for _, reply := range r.replies {
		r.replaceShares(&account, reply)
	}
	unanswered := r.unanswered()
	for _, report := range r.lastReports() {
		usage, listed := report.Customers[r.customer]
		if !listed || !r.ranSinceCopy(unanswered[report.Incarnation]) {
			continue // what it held is in the account
		}
		share := Share{Host: report.Host, Incarnation: report.Incarnation, Epoch: usage.Epoch}
		if known, ok := account.Shares[share.key()]; ok {
			share = known
		}
		share.Amount = report.maxLimit(usage, r.endedBy(report.Host))
		account.Shares[share.key()] = share
	}
	return account
}

// endedBy returns a time on the store's clock at which the processes of a host that have not
// answered had ended: when the one that has answered was started, or the end of their leases.
func (r accountRecovery) endedBy(host string) time.Duration {
	for _, reply := range r.replies {
		if reply.Host == host {
			return reply.startedAt()
		}
	}
	return math.MaxInt64
}

// replaceShares replaces the shares of a process by what it says of them.
func (r accountRecovery) replaceShares(account *Account, reply RecallReply) {
	for key, share := range account.Shares {
		if share.Incarnation != reply.Incarnation {
			continue
		}
		if used, expired := reply.Expired[key]; expired {
			account.closeShare(key, used)
		} else if key == reply.Share.key() {
			delete(account.Shares, key)
		}
	}
	if reply.Share.Amount > 0 {
		account.Shares[reply.Share.key()] = reply.Share
	}
}

// exhausted returns the account with all free tokens counted as spent, and their number: hosts
// that are missing may have spent them.
func (r accountRecovery) exhausted() (account Account, lost int64) {
	account = r.account()
	prepaid := r.prepaid
	for _, reply := range r.replies {
		prepaid = max(prepaid, reply.Prepaid)
	}
	lost = max(0, prepaid-account.Allotted())
	account.Settled += lost
	return account, lost
}
