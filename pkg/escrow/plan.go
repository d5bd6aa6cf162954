package escrow

import "time"

const (
	// demandCoverTime is the time of demand that a share is meant for: ten seconds without
	// the store at twice the usual demand.
	demandCoverTime = 20 * time.Second
	// shortageCoverTime replaces it while another host lacks tokens.
	shortageCoverTime = time.Second
	// allocatableFraction is the part of the unspent budget that is shared out. The rest
	// stays in the account for hosts whose demand rises.
	allocatableFraction = 0.95
	// minEvenFraction is the part of the unspent budget that all hosts hold evenly, since
	// a customer may turn to another host at any time. It rises to evenStandby for
	// a customer whose requests go to all hosts alike: at most hosts the demand of
	// the last seconds is chance.
	minEvenFraction = 0.08
	maxEvenFraction = 0.75
	// spreadThreshold is the part of the hosts with demand up to which standby holds.
	spreadThreshold = 0.5
	// A share is filled up below refillThreshold and cut back above highMark of its target.
	refillThreshold = 0.75
	returnThreshold = 1.5
	// minHeadroomDivisor divides the prepaid total into the smallest ceilings.
	minHeadroomDivisor = 2000
	// peakRequestsCovered is how many of the largest recent requests a share allows for beside
	// the mean demand.
	peakRequestsCovered = 2
	// A ceiling allows for some demand above what is spent, and for a request of
	// mean size. All of it is lost if the process is killed, so that it shrinks
	// with the time that the budget lasts: headroomTimeFraction of that time, within bounds.
	headroomTimeFraction = 0.05
	minHeadroomTime      = 250 * time.Millisecond
	maxHeadroomTime      = 2 * time.Second
	// maxHeadroomFraction is the part of a prepaid total that the ceilings of all hosts
	// together may lie above what is spent; evenStrand of it is shared out evenly,
	// the rest by demand. The users want 97 in 100 of a budget served.
	maxHeadroomFraction  = 0.025
	evenHeadroomFraction = 0.3
	// burstFactor is the multiple of the measured demand that a host may spend when it
	// is cut off, and peakTerm the time for which it may spend a largest request.
	burstFactor     = 5
	peakRequestTime = 2 * time.Second
)

// budgetView is what a host knows of one customer's budget.
type budgetView struct {
	prepaid        int64
	settled        int64   // spent from closed shares
	amount         int64   // own share
	used           int64   // of the own share, open reservations included
	recentDemand   float64 // of the last seconds, tokens per second
	longTermDemand float64 // of a longer time
	demandSquare   float64 // of usual, without chance
	peakRequest    int64   // largest recent reservation
	meanRequest    float64 // mean reservation
	largestWaiting int64   // largest reservation that waits; 0: none
	hosts          int     // as far as known, this one included
	others         otherShares
}

// otherShares is what is known of the shares of other processes.
type otherShares struct {
	Amount         int64   `json:"amount"`  // all shares
	Spent          int64   `json:"spent"`   // by shares with a report
	Unreported     int64   `json:"unknown"` // amount of shares without a report
	LongTermDemand float64 `json:"usual"`
	DemandSquares  float64 `json:"squares"` // sum of Usage.Square
	PeakRequest    int64   `json:"peak"`
	Shortage       bool    `json:"lack,omitempty"` // a request of another host waits in vain
}

// unspent returns the tokens that no host has spent, as far as known. Shares
// without a report count as spent.
func (v budgetView) unspent() int64 {
	return max(0, v.prepaid-v.settled-v.used-v.others.Spent-v.others.Unreported)
}

// free returns the tokens that no host holds.
func (v budgetView) free() int64 {
	return max(0, v.prepaid-v.settled-v.amount-v.others.Amount)
}

func (v budgetView) evenFraction() float64 { return 1 / float64(max(1, v.hosts)) }

func (v budgetView) largestPeakRequest() int64 { return max(v.peakRequest, v.others.PeakRequest) }

// demandShare returns this host's part of the usual demand.
func (v budgetView) demandShare() float64 {
	if total := v.longTermDemand + v.others.LongTermDemand; total > 0 {
		return v.longTermDemand / total
	}
	return v.evenFraction()
}

// demandSpread returns the part of the hosts among which the demand is demandSpread, from 0
// to 1, by the inverse participation ratio.
func (v budgetView) demandSpread() float64 {
	total, squares := v.longTermDemand+v.others.LongTermDemand, v.demandSquare+v.others.DemandSquares
	if total <= 0 {
		return 0
	}
	return min(1, v.evenFraction()/max(squares/(total*total), v.evenFraction()))
}

// evenlyHeldFraction returns the part of the unspent budget that all hosts hold evenly.
func (v budgetView) evenlyHeldFraction() float64 {
	return minEvenFraction + (maxEvenFraction-minEvenFraction)*max(0, v.demandSpread()-spreadThreshold)/(1-spreadThreshold)
}

// plannedDemand returns the demand to plan with, which is at least the even part of
// a demand that is spread evenly.
func (v budgetView) plannedDemand() float64 {
	even := (v.longTermDemand + v.others.LongTermDemand) * v.evenFraction()
	return max(v.recentDemand, even*max(0, v.demandSpread()-spreadThreshold)/(1-spreadThreshold))
}

// desiredUnspent returns the unspent tokens that the host should hold.
func (v budgetView) desiredUnspent() int64 {
	coverTime := demandCoverTime
	if v.others.Shortage {
		coverTime = shortageCoverTime
	}
	unspent := float64(v.unspent())
	evenlyHeld := v.evenlyHeldFraction()
	share := int64(unspent * (evenlyHeld*v.evenFraction() + (allocatableFraction-evenlyHeld)*v.demandShare()))
	covered := int64(v.plannedDemand()*coverTime.Seconds()) + peakRequestsCovered*v.largestPeakRequest()
	return max(min(covered, share), int64(minEvenFraction*v.evenFraction()*unspent), v.largestWaiting)
}

// nextAmount returns the share that the host should hold. It never takes more
// than is free.
func (v budgetView) nextAmount() int64 {
	desired, remaining := v.desiredUnspent(), v.amount-v.used
	switch {
	case float64(remaining) < refillThreshold*float64(desired) || remaining < v.largestWaiting:
		return v.amount + max(0, min(v.free(), desired-remaining))
	case float64(remaining) > returnThreshold*float64(desired):
		return v.amount - (remaining - desired)
	}
	return v.amount
}

// headroomTime returns the time of demand that a ceiling allows for.
func (v budgetView) headroomTime() time.Duration {
	totalDemand := v.longTermDemand + v.others.LongTermDemand
	if totalDemand <= 0 {
		return maxHeadroomTime
	}
	secondsLeft := float64(v.unspent()) / totalDemand
	return min(max(time.Duration(headroomTimeFraction*secondsLeft*float64(time.Second)), minHeadroomTime), maxHeadroomTime)
}

// usage returns the customer's entry in the next report.
func (v budgetView) usage(epoch int) Usage {
	wanted := v.plannedDemand()*v.headroomTime().Seconds() + v.meanRequest
	allowed := maxHeadroomFraction * float64(v.prepaid) * (evenHeadroomFraction*v.evenFraction() + (1-evenHeadroomFraction)*v.demandShare())
	headroom := max(int64(min(wanted, allowed)), v.largestWaiting, v.prepaid/minHeadroomDivisor)
	return Usage{
		Epoch:          epoch,
		Spent:          v.used,
		Ceiling:        v.used + headroom,
		CeilingRate:    max(int64(burstFactor*v.plannedDemand()), int64(float64(v.largestPeakRequest())/peakRequestTime.Seconds()), v.prepaid/minHeadroomDivisor),
		LongTermDemand: int64(v.longTermDemand),
		DemandSquare:   int64(v.demandSquare),
		PeakRequest:    v.peakRequest,
	}
}
