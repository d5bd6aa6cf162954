package escrow

import "time"

const (
	// cover is the time of demand that a holding is meant for: ten seconds
	// without the store at twice the usual demand.
	cover = 20 * time.Second
	// scarceCover replaces it while another host lacks tokens.
	scarceCover = time.Second
	// spendable is the part of the unspent budget that is shared out by demand.
	// The rest stays in the account for hosts whose demand rises.
	spendable = 0.95
	// A holding is filled up below lowMark and cut back above highMark of its target.
	lowMark  = 0.75
	highMark = 1.5
	// standby is the part of the unspent budget that is held evenly by all hosts,
	// since a customer may turn to another host at any time.
	standby = 0.08
	// minShares divides the prepaid total into the smallest holdings.
	minShares = 1000
	// A ceiling allows for sliceTerm of demand above what is spent, and at least
	// for leastSlice whatever is left of the budget.
	sliceTerm  = 3 * time.Second
	leastSlice = time.Second
	// peaks is how many of the largest recent requests a ceiling allows for beside
	// the mean demand.
	peaks = 2
	// strandable is the part of the unspent budget that the ceilings of all hosts
	// together may lie above what is spent: it is lost if all processes are killed.
	strandable = 0.12
	// burst is the multiple of the measured demand that a host may spend when it
	// is cut off.
	burst = 4
)

// position is what a host knows of its own holding.
type position struct {
	host        string
	incarnation string
	report      int64   // number of the next report
	amount      int64   // confirmed holding of this incarnation
	used        int64   // spent and reserved
	demand      float64 // of the last seconds, tokens per second
	usual       float64 // of a longer time
	peak        int64   // largest recent reservation
	need        int64   // largest reservation that waits; 0: none
	prepaid     int64
	hosts       int           // that serve the customer, as far as known
	storeNow    time.Duration // estimated, not ahead of the store's clock
	leaving     bool          // give everything back
}

// plan returns the account with the host's next report. The account never holds
// out more than is prepaid, unless the prepaid total was lowered.
func plan(a Account, p position) Account {
	next := a.clone()
	if own, ok := next.Holdings[p.host]; ok && own.Incarnation != p.incarnation {
		next.close(p.host, own.age(p.storeNow))
	}
	for host, h := range next.Holdings {
		if host != p.host && h.age(p.storeNow) > leaseTerm+reclaimMargin {
			next.close(host, h.age(p.storeNow))
		}
	}
	if p.leaving {
		delete(next.Holdings, p.host)
		next.Settled += p.used
		return next
	}
	next.Holdings[p.host] = report(next, p)
	return next
}

func report(a Account, p position) Holding {
	delete(a.Holdings, p.host)
	others := a.Allotted()
	free := max(0, p.prepaid-others-p.amount)
	target := target(a, p)
	rest := p.amount - p.used
	amount := p.amount
	switch {
	case float64(rest) < lowMark*float64(target) || rest < p.need:
		amount += min(free, max(target, p.need)-rest)
	case float64(rest) > highMark*float64(target):
		amount -= rest - target
	}
	slice := slice(a, p)
	return Holding{
		Incarnation: p.incarnation,
		Report:      p.report,
		Amount:      amount,
		Spent:       p.used,
		Ceiling:     min(amount, p.used+slice),
		Rate:        max(int64(burst*p.demand), p.prepaid/minShares),
		Usual:       int64(p.usual),
		Peak:        p.peak,
		Lacking:     max(0, p.need-(amount-p.used)),
		StampMs:     p.storeNow.Milliseconds(),
	}
}

// slice returns how far the ceiling lies above what is spent. a has no holding
// of the host.
func slice(a Account, p position) int64 {
	unspent := max(0, p.prepaid-a.Spent()-p.used)
	share := int64(strandable * float64(unspent) / float64(max(p.hosts, len(a.Holdings)+1)))
	wanted := int64(p.demand*sliceTerm.Seconds()) + peaks*max(p.peak, a.peak())
	return max(min(wanted, share), int64(p.demand*leastSlice.Seconds()), p.need, p.prepaid/minShares)
}

// target returns the unspent tokens that the host should hold. a has no holding
// of the host.
func target(a Account, p position) int64 {
	wanted := cover
	if a.othersLack(p.host) {
		wanted = scarceCover
	}
	unspent := float64(max(0, p.prepaid-a.Spent()-p.used))
	even := 1 / float64(max(p.hosts, len(a.Holdings)+1))
	byDemand := even
	if total := a.usualDemand() + p.usual; total > 0 {
		byDemand = p.usual / total
	}
	share := int64(unspent * (standby*even + (spendable-standby)*byDemand))
	covered := int64(p.demand*wanted.Seconds()) + peaks*max(p.peak, a.peak())
	return max(min(covered, share), int64(standby*even*unspent), p.need)
}
