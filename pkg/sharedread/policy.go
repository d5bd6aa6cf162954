package sharedread

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/peppertrail/peppertrail/pkg/rendezvous"
)

// Members is what a host knows of the fleet.
type Members struct {
	Others  []Host // the other running hosts
	Known   bool   // they were read at least once
	Listed  bool   // other hosts can know this one
	Settled bool   // the fleet was running before this process: hosts that are not known do not run
}

// policy decides how a host reads the table. It handles hosts that start at the same time and
// know few others, hosts that disagree on the membership, and readers that fail. Its methods
// are given the time, and it is safe for concurrent use.
type policy struct {
	self      Host
	startedAt time.Time
	patience  time.Duration // how long the host waits for others to announce themselves

	mu         sync.Mutex
	decided    bool
	shared     bool
	rankedAt   time.Time
	isReader   bool     // by the ranking
	candidates []string // addresses of the hosts to ask, in order
	askedAt    time.Time
	failures   map[string]failure // by address
}

// failure is a host that is not asked for some time.
type failure struct {
	until time.Time
	delay time.Duration
}

// newPolicy returns a policy. random is in [0, 1).
func newPolicy(self Host, now time.Time, random float64) *policy {
	return &policy{self: self, startedAt: now, patience: startPatience(random), failures: make(map[string]failure)}
}

// startPatience spreads the hosts that start together. Only few of them decide early, when they
// know few others: with the fourth root, 1 in 256 within the first quarter of membershipWait.
func startPatience(random float64) time.Duration {
	return time.Duration(float64(membershipWait) * math.Sqrt(math.Sqrt(random)))
}

// update takes the membership into account.
func (p *policy) update(m Members, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := len(m.Others) + 1
	limit := minSharedHosts
	if p.shared {
		limit = keepSharedHosts
	}
	p.shared = m.Known && count >= limit
	if p.shared || (m.Known && m.Settled) || now.Sub(p.startedAt) >= p.patience || p.self.Addr == "" {
		p.decided = true
	}
	p.rankedAt = now
	hosts := slices.Clone(m.Others)
	if m.Listed {
		hosts = append(hosts, p.self)
	}
	p.rank(hosts)
}

// rank sets the role of this host and the hosts to ask. Hosts that have just started and know
// few others agree on the readers only if none ranks itself before others can know it.
func (p *policy) rank(hosts []Host) {
	ranked := rank(hosts, p.self.FailureDomain)
	count := readerCount(len(ranked))
	p.isReader, p.candidates = false, nil
	for _, h := range ranked[:count] {
		p.isReader = p.isReader || h.Name == p.self.Name
	}
	if count == 0 {
		p.isReader = true // nobody can be asked
		return
	}
	first := int(rendezvous.Hash(p.self.Name) % uint64(count))
	order := append(append([]Host{}, ranked[first:count]...), ranked[:first]...)
	order = append(order, ranked[count:]...)
	for _, h := range order {
		if h.Name != p.self.Name && len(p.candidates) < count+successorsAsked {
			p.candidates = append(p.candidates, h.Addr)
		}
	}
}

// membersDue reports whether the membership should be looked at again.
func (p *policy) membersDue(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.decided || now.Sub(p.rankedAt) >= membersInterval
}

// mode returns how this host reads the table now.
func (p *policy) mode(now time.Time) Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case !p.decided:
		return Undecided
	case !p.shared:
		return Direct
	case p.isReader || (!p.askedAt.IsZero() && now.Sub(p.askedAt) < askedTTL):
		return Reader
	}
	return Follower
}

// next returns the address of the host to ask, "" if none can be asked now.
func (p *policy) next(now time.Time) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, addr := range p.candidates {
		if f, failed := p.failures[addr]; !failed || !now.Before(f.until) {
			return addr
		}
	}
	return ""
}

// asked records that another host has asked this one, which then reads the store.
func (p *policy) asked(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.askedAt = now
}

// backoff bounds the time for which a host that has failed is not asked.
type backoff struct {
	least, most time.Duration
}

// failed records that a host has not given a usable answer. It is not asked for b.least at first,
// and for twice as long after each further failure, up to b.most.
func (p *policy) failed(addr string, b backoff, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delay := max(b.least, min(2*p.failures[addr].delay, b.most))
	p.failures[addr] = failure{until: now.Add(delay), delay: delay}
	for other, f := range p.failures { // hosts that are no longer asked
		if now.Sub(f.until) > maxBackoff {
			delete(p.failures, other)
		}
	}
}

// answered records a usable answer.
func (p *policy) answered(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.failures, addr)
}
