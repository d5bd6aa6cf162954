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
	spendable = 0.9
	// A holding is filled up below lowMark and cut back above highMark of its target.
	lowMark  = 0.75
	highMark = 1.5
	// minShares divides the prepaid total into the smallest holdings.
	minShares = 400
	// burst is the multiple of the measured demand that a host may spend when it
	// is cut off.
	burst = 4
)

// position is what a host knows of its own holding.
type position struct {
	host        string
	incarnation string
	report      int64 // number of the next report
	amount      int64 // confirmed holding of this incarnation
	used        int64 // spent and reserved
	demand      float64
	need        int64 // largest reservation that waits; 0: none
	prepaid     int64
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
	slice := max(p.need, int64(p.demand*shortTerm.Seconds()*highMark), p.prepaid/minShares)
	return Holding{
		Incarnation: p.incarnation,
		Report:      p.report,
		Amount:      amount,
		Spent:       p.used,
		Ceiling:     min(amount, p.used+slice),
		Rate:        max(int64(burst*p.demand), p.prepaid/minShares),
		Demand:      int64(p.demand),
		Lacking:     max(0, p.need-(amount-p.used)),
		StampMs:     p.storeNow.Milliseconds(),
	}
}

// target returns the unspent tokens that the host should hold. a has no holding
// of the host.
func target(a Account, p position) int64 {
	wanted := cover
	if a.othersLack(p.host) {
		wanted = scarceCover
	}
	unspent := max(0, p.prepaid-a.Spent()-p.used)
	demand := p.demand
	for _, h := range a.Holdings {
		demand += float64(h.Demand)
	}
	share := 1 / float64(len(a.Holdings)+1)
	if demand > 0 {
		share = p.demand / demand
	}
	return max(min(int64(p.demand*wanted.Seconds()), int64(spendable*share*float64(unspent))), min(p.prepaid, unspent)/minShares, p.need)
}
