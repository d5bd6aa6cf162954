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
	// a customer may turn to another host at any time. It rises to evenStandby for
	// a customer whose requests go to all hosts alike: at most hosts the demand of
	// the last seconds is chance.
	standby     = 0.08
	evenStandby = 0.75
	// someSpread is the part of the hosts with demand up to which standby holds.
	someSpread = 0.5
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
	// is cut off, and peakTerm the time for which it may spend a largest request.
	burst    = 5
	peakTerm = 2 * time.Second
)

// position is what a host knows of one customer's budget.
type position struct {
	prepaid int64
	settled int64   // spent from closed shares
	amount  int64   // own share
	used    int64   // of the own share, open reservations included
	demand  float64 // of the last seconds, tokens per second
	usual   float64 // of a longer time
	square  float64 // of usual, without chance
	peak    int64   // largest recent reservation
	typical float64 // mean reservation
	need    int64   // largest reservation that waits; 0: none
	hosts   int     // as far as known, this one included
	others  others
}

// others is what is known of the shares of other processes.
type others struct {
	Amount  int64   `json:"amount"`  // all shares
	Spent   int64   `json:"spent"`   // by shares with a report
	Unknown int64   `json:"unknown"` // amount of shares without a report
	Usual   float64 `json:"usual"`
	Squares float64 `json:"squares"` // sum of Usage.Square
	Peak    int64   `json:"peak"`
	Lack    bool    `json:"lack,omitempty"` // a request of another host waits in vain
}

// unspent returns the tokens that no host has spent, as far as known. Shares
// without a report count as spent.
func (p position) unspent() int64 {
	return max(0, p.prepaid-p.settled-p.used-p.others.Spent-p.others.Unknown)
}

// free returns the tokens that no host holds.
func (p position) free() int64 {
	return max(0, p.prepaid-p.settled-p.amount-p.others.Amount)
}

func (p position) even() float64 { return 1 / float64(max(1, p.hosts)) }

func (p position) anyPeak() int64 { return max(p.peak, p.others.Peak) }

// demandShare returns this host's part of the usual demand.
func (p position) demandShare() float64 {
	if total := p.usual + p.others.Usual; total > 0 {
		return p.usual / total
	}
	return p.even()
}

// spread returns the part of the hosts among which the demand is spread, from 0
// to 1, by the inverse participation ratio.
func (p position) spread() float64 {
	total, squares := p.usual+p.others.Usual, p.square+p.others.Squares
	if total <= 0 {
		return 0
	}
	return min(1, p.even()/max(squares/(total*total), p.even()))
}

// evenPart returns the part of the unspent budget that all hosts hold evenly.
func (p position) evenPart() float64 {
	return standby + (evenStandby-standby)*max(0, p.spread()-someSpread)/(1-someSpread)
}

// expected returns the demand to plan with, which is at least the even part of
// a demand that is spread evenly.
func (p position) expected() float64 {
	even := (p.usual + p.others.Usual) * p.even()
	return max(p.demand, even*max(0, p.spread()-someSpread)/(1-someSpread))
}

// target returns the unspent tokens that the host should hold.
func (p position) target() int64 {
	term := cover
	if p.others.Lack {
		term = scarceCover
	}
	unspent := float64(p.unspent())
	evenly := p.evenPart()
	share := int64(unspent * (evenly*p.even() + (spendable-evenly)*p.demandShare()))
	covered := int64(p.expected()*term.Seconds()) + peaks*p.anyPeak()
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
	demand := p.usual + p.others.Usual
	if demand <= 0 {
		return mostSlice
	}
	lasts := float64(p.unspent()) / demand
	return min(max(time.Duration(slicePart*lasts*float64(time.Second)), leastSlice), mostSlice)
}

// usage returns the customer's entry in the next report.
func (p position) usage(epoch int) Usage {
	wanted := p.expected()*p.sliceTerm().Seconds() + p.typical
	allowed := strandable * float64(p.prepaid) * (evenStrand*p.even() + (1-evenStrand)*p.demandShare())
	slice := max(int64(min(wanted, allowed)), p.need, p.prepaid/minShares)
	return Usage{
		Epoch:   epoch,
		Spent:   p.used,
		Ceiling: p.used + slice,
		Rate:    max(int64(burst*p.expected()), int64(float64(p.anyPeak())/peakTerm.Seconds()), p.prepaid/minShares),
		Usual:   int64(p.usual),
		Square:  int64(p.square),
		Peak:    p.peak,
	}
}
