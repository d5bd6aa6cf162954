package escrow

import "time"

const (
	// cover is the time of demand that a share is meant for: ten seconds without
	// the store at twice the usual demand.
	cover = 20 * time.Second
	// scarceCover replaces it while another host lacks tokens.
	scarceCover = time.Second
	// spendable is the part of the unspent budget that is shared out. The rest
	// stays in the account for hosts whose demand rises.
	spendable = 0.95
	// standby is the part of the unspent budget that all hosts hold evenly, since
	// a customer may turn to another host at any time.
	standby = 0.08
	// A share is filled up below lowMark and cut back above highMark of its target.
	lowMark  = 0.75
	highMark = 1.5
	// minShares divides the prepaid total into the smallest ceilings.
	minShares = 2000
	// peaks is how many of the largest recent requests a share allows for beside
	// the mean demand.
	peaks = 2
	// A ceiling allows for some demand above what is spent, and for a request of
	// mean size. All of it is lost if the process is killed, so that it shrinks
	// with the time that the budget lasts: slicePart of that time, within bounds.
	slicePart  = 0.05
	leastSlice = 250 * time.Millisecond
	mostSlice  = 2 * time.Second
	// strandable is the part of a prepaid total that the ceilings of all hosts
	// together may lie above what is spent; evenStrand of it is shared out evenly,
	// the rest by demand. The users want 97 in 100 of a budget served.
	strandable = 0.025
	evenStrand = 0.3
	// burst is the multiple of the measured demand that a host may spend when it
	// is cut off.
	burst = 5
)

// position is what a host knows of one customer's budget.
type position struct {
	prepaid int64
	settled int64   // spent from closed shares
	amount  int64   // own share
	used    int64   // of the own share, open reservations included
	demand  float64 // of the last seconds, tokens per second
	usual   float64 // of a longer time
	peak    int64   // largest recent reservation
	typical float64 // mean reservation
	need    int64   // largest reservation that waits; 0: none
	hosts   int     // as far as known, this one included
	others  others
}

// others is what is known of the shares of other processes.
type others struct {
	amount  int64 // all shares
	spent   int64 // by shares with a report
	unknown int64 // amount of shares without a report
	usual   float64
	peak    int64
	lack    bool // a request of another host waits in vain
}

// unspent returns the tokens that no host has spent, as far as known. Shares
// without a report count as spent.
func (p position) unspent() int64 {
	return max(0, p.prepaid-p.settled-p.used-p.others.spent-p.others.unknown)
}

// free returns the tokens that no host holds.
func (p position) free() int64 {
	return max(0, p.prepaid-p.settled-p.amount-p.others.amount)
}

func (p position) even() float64 { return 1 / float64(max(1, p.hosts)) }

func (p position) anyPeak() int64 { return max(p.peak, p.others.peak) }

// demandShare returns this host's part of the usual demand.
func (p position) demandShare() float64 {
	if total := p.usual + p.others.usual; total > 0 {
		return p.usual / total
	}
	return p.even()
}

// target returns the unspent tokens that the host should hold.
func (p position) target() int64 {
	term := cover
	if p.others.lack {
		term = scarceCover
	}
	unspent := float64(p.unspent())
	share := int64(unspent * (standby*p.even() + (spendable-standby)*p.demandShare()))
	covered := int64(p.demand*term.Seconds()) + peaks*p.anyPeak()
	return max(min(covered, share), int64(standby*p.even()*unspent), p.need)
}

// nextAmount returns the share that the host should hold. It never takes more
// than is free.
func (p position) nextAmount() int64 {
	target, rest := p.target(), p.amount-p.used
	switch {
	case float64(rest) < lowMark*float64(target) || rest < p.need:
		return p.amount + max(0, min(p.free(), target-rest))
	case float64(rest) > highMark*float64(target):
		return p.amount - (rest - target)
	}
	return p.amount
}

// sliceTerm returns the time of demand that a ceiling allows for.
func (p position) sliceTerm() time.Duration {
	demand := p.usual + p.others.usual
	if demand <= 0 {
		return mostSlice
	}
	lasts := float64(p.unspent()) / demand
	return min(max(time.Duration(slicePart*lasts*float64(time.Second)), leastSlice), mostSlice)
}

// usage returns the customer's entry in the next report.
func (p position) usage(epoch int) Usage {
	wanted := p.demand*p.sliceTerm().Seconds() + p.typical
	allowed := strandable * float64(p.prepaid) * (evenStrand*p.even() + (1-evenStrand)*p.demandShare())
	slice := max(int64(min(wanted, allowed)), p.need, p.prepaid/minShares)
	return Usage{
		Epoch:   epoch,
		Spent:   p.used,
		Ceiling: p.used + slice,
		Rate:    max(int64(burst*p.demand), p.prepaid/minShares),
		Usual:   int64(p.usual),
		Peak:    p.peak,
	}
}
