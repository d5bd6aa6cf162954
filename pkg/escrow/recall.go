package escrow

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/peppertrail/peppertrail/pkg/rendezvous"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

const (
	// recallTimeout bounds the call by which a host is asked what it knows of an account.
	recallTimeout = 500 * time.Millisecond
	// maxRecallCalls is the number of hosts that are asked at a time.
	maxRecallCalls = 32
)

// RecallRequest asks a host what it knows of an account whose shares are recovered, after the
// store has returned from an older copy.
type RecallRequest struct {
	Customer string `json:"customer"`
	Era      uint64 `json:"era"` // era that has begun
}

// RecallReply is what a host knows of an account.
type RecallReply struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	StartedMs   int64  `json:"started"` // start of the process on the store's clock, in milliseconds
	// CopySinceMs is a time on the store's clock, in milliseconds: the store's copy has what
	// was written until then. 0: unknown.
	CopySinceMs int64 `json:"copy,omitempty"`
	Prepaid     int64 `json:"prepaid,omitempty"` // prepaid total that the host knows, in tokens
	// Share is the share of the process. It gives up changes of it whose outcome is unknown.
	// Amount is 0 if it holds none.
	Share Share `json:"share"`
	// Expired are former shares of the process that are not known to be closed, by Share.key,
	// with the tokens used from each.
	Expired map[string]int64 `json:"lapsed,omitempty"`
	// Account is the account as the host has last read or written it, at Version; nil: it has
	// not.
	Account *Account        `json:"account,omitempty"`
	Version storage.Version `json:"version"`
	// Reports are the last known usage reports of other processes that may hold a share.
	Reports []UsageReport `json:"reports,omitempty"`
	// ToldMs is the store's clock, in milliseconds, of the last report that a process has told
	// this host, by incarnation.
	ToldMs map[string]int64 `json:"told,omitempty"`
}

// startedAt returns the start of the process on the store's clock.
func (r RecallReply) startedAt() time.Duration { return time.Duration(r.StartedMs) * time.Millisecond }

// Recall returns what this host knows of an account. From then on this process spends no more
// from its share than it says here, until the share is confirmed in the era of the request.
func (m *Manager) Recall(_ context.Context, request RecallRequest) (RecallReply, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noteEra(request.Era)
	return m.recall(request.Customer), nil
}

// recall is Recall for a caller that holds the mutex.
func (m *Manager) recall(customer string) RecallReply {
	reply := RecallReply{
		Host: m.options.Host, Incarnation: m.options.Incarnation, StartedMs: m.startStoreTime.Milliseconds(),
		CopySinceMs: m.returns.copySince.Milliseconds(), Reports: m.reportsFor(customer), ToldMs: make(map[string]int64, len(m.witnessing.reports)),
	}
	for incarnation, r := range m.witnessing.reports {
		reply.ToldMs[incarnation] = r.StoreTimeMs
	}
	p := m.pools[customer]
	if p == nil {
		return reply
	}
	reply.Prepaid, reply.Share = p.prepaid, p.ownShare()
	reply.Share.Amount, reply.Share.Seq = max(p.ledger.guaranteed(), p.ledger.used()), p.lastSeq
	reply.Expired = maps.Clone(p.expiredShares)
	if p.accountVersion.Number > 0 {
		account := p.account.clone()
		reply.Account, reply.Version = &account, p.accountVersion
	}
	return reply
}

// reportsFor returns the last known reports of other processes that may hold a share of a
// customer's budget.
func (m *Manager) reportsFor(customer string) []UsageReport {
	newest := maps.Clone(m.witnessing.reports)
	consider := func(r UsageReport) {
		if known, ok := newest[r.Incarnation]; !ok || known.Number < r.Number {
			newest[r.Incarnation] = r
		}
	}
	for _, r := range m.peerReports {
		consider(r)
	}
	for _, e := range m.endedProcesses {
		consider(e.Report)
	}
	var reports []UsageReport
	for _, r := range newest {
		if _, listed := r.Customers[customer]; listed || !r.Complete {
			reports = append(reports, r.forCustomer(customer))
		}
	}
	return reports
}

// recallFrom asks hosts what they know of an account. Hosts that do not answer are missing
// from the replies.
func (m *Manager) recallFrom(ctx context.Context, hosts []brokerCandidate, request RecallRequest) []RecallReply {
	var mu sync.Mutex
	var replies []RecallReply
	var calls sync.WaitGroup
	slots := make(chan struct{}, maxRecallCalls)
	for _, h := range hosts {
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, recallTimeout)
			defer cancel()
			reply, err := m.options.Recall(ctx, h.addr, request)
			if err == nil {
				err = reply.validate()
			}
			if err != nil {
				m.options.Log.Info().Err(err).Str("peer", h.name).Str("customer", request.Customer).Msg("Another host did not say what it knows of an account.")
				return
			}
			mu.Lock()
			defer mu.Unlock()
			replies = append(replies, reply)
		})
	}
	calls.Wait()
	return replies
}

// otherHosts returns the other running hosts, the first broker candidate of the customer first,
// and the position that this host has among them.
func (m *Manager) otherHosts(customer string) (hosts []brokerCandidate, position int) {
	own := rendezvous.Score(customer, m.options.Host)
	for name, row := range m.membership.rows {
		if name == m.options.Host || row.Addr == "" {
			continue
		}
		h := brokerCandidate{name, row.Addr, rendezvous.Score(customer, name)}
		if h.score > own {
			position++
		}
		hosts = append(hosts, h)
	}
	slices.SortFunc(hosts, func(a, b brokerCandidate) int {
		if a.score > b.score {
			return -1
		}
		return 1
	})
	return hosts, position
}
