package escrow

import (
	"math"
	"time"
)

const (
	// demandCoverTime is the time for which a share should cover the demand:
	// ten seconds without the store at twice the long-term demand.
	demandCoverTime = 20 * time.Second
	// lentCoverTime replaces demandCoverTime for the demand of other hosts that spend from
	// this host's share. They reach it only while they are not cut off.
	lentCoverTime = 12 * time.Second
	// shortageCoverTime replaces demandCoverTime while another host lacks
	// tokens.
	shortageCoverTime = time.Second
	// allocatableFraction is the fraction of the unspent budget that shares
	// may hold. The rest stays in the account for hosts whose demand rises.
	allocatableFraction = 0.95
	// minEvenFraction is the fraction of the unspent budget that is divided
	// evenly among all hosts, since a customer may switch to another host at
	// any time. The fraction rises to maxEvenFraction for a customer whose
	// requests are spread evenly over all hosts: on most hosts, the demand
	// measured in the last seconds is then due to chance.
	minEvenFraction = 0.08
	maxEvenFraction = 0.75
	// spreadThreshold is the value of demandSpread up to which minEvenFraction
	// applies and plannedDemand is the recent demand on this host alone.
	spreadThreshold = 0.5
	// A share is refilled when its unspent tokens fall below refillThreshold
	// times the desired number, and reduced when they exceed returnThreshold
	// times that number.
	refillThreshold = 0.75
	returnThreshold = 1.5
	// A fleet whose hosts cannot each hold peakRequestsCovered of the largest
	// requests leaves tokens for up to reservedRequests of them in the
	// account, but at most maxReservedFraction of the unspent budget: divided
	// among all hosts, these tokens could not serve a single large request.
	reservedRequests    = 8
	maxReservedFraction = 0.25
	// reserveReturnThreshold replaces returnThreshold while fewer tokens than
	// reserved are free.
	reserveReturnThreshold = 1.1
	// The minimum headroom of a ceiling is minHeadroomFraction of the prepaid total,
	// but at most minHeadroomFleetFraction of it for all hosts together. It is what a
	// host without recent demand may spend at first when it is cut off.
	minHeadroomFraction      = 0.0005
	minHeadroomFleetFraction = 0.04
	// peakRequestsCovered is the number of requests, each of the size of the
	// largest recent one, that a share covers in addition to the planned
	// demand.
	peakRequestsCovered = 2
	// The headroom of a ceiling is its distance from the tokens used. It covers
	// the planned demand for a certain time and one request of mean size. If
	// the process is killed, all of the headroom is lost, so the time shrinks
	// as the budget runs low: it is headroomTimeFraction of the time that the
	// budget lasts, but at least minHeadroomTime and at most maxHeadroomTime.
	headroomTimeFraction = 0.05
	minHeadroomTime      = 250 * time.Millisecond
	maxHeadroomTime      = 2 * time.Second
	// maxHeadroomFraction is the fraction of a prepaid total that the headroom
	// of all hosts together may reach, except what waiting reservations need: all
	// of it is lost when all processes are killed, and the users require that 97 %
	// of a budget can be served. evenPartFraction of it is divided evenly and the
	// rest by demand.
	maxHeadroomFraction = 0.025
	evenPartFraction    = 0.3
	// Between two reports a host may exceed its expected demand by a burst
	// of burstDeviations standard deviations of what it spends in burstTime. The
	// bursts of all hosts together are at least minBurstFraction and at most
	// maxBurstFraction of a prepaid total: what is not used of them is lost when
	// the processes are killed before they reach the table again.
	burstDeviations  = 2.5
	burstTime        = 8 * time.Second
	minBurstFraction = 0.01
	maxBurstFraction = 0.12
)

// budgetView is what a host knows of one customer's budget.
type budgetView struct {
	prepaid          int64   // prepaid total in tokens
	settled          int64   // tokens spent from closed shares
	amount           int64   // tokens of this host's share
	used             int64   // tokens used from this host's share, open reservations included
	recentDemand     float64 // demand of the last seconds on this host, tokens per second
	longTermDemand   float64 // demand over a longer time on this host, tokens per second
	demandSquare     float64 // estimated square of the true long-term demand, (tokens per second)²
	peakRequest      int64   // tokens of the largest recent reservation
	meanRequest      float64 // mean size of a reservation in tokens
	largestWaiting   int64   // tokens of the largest reservation that waits for a larger share; 0: none
	smallestWaiting  int64   // tokens of the smallest reservation that waits
	totalWaiting     int64   // tokens of all reservations that wait
	shortageRepeated bool    // another host lacks tokens although other hosts were asked to return them
	hosts            int     // number of hosts that share the budget, including this one
	pooled           bool    // hosts with little demand spend from the share of the broker
	holds            bool    // this host should hold unspent tokens; always true unless pooled
	lentDemand       float64 // part of recentDemand that is due to other hosts, tokens per second
	brokered         bool    // others is the summary of a broker
	others           otherShares
}

// otherShares sums up what is known of the shares of other processes.
type otherShares struct {
	Amount         int64   `json:"amount"`         // tokens of all these shares
	Holders        int     `json:"holders"`        // number of these shares that are not empty
	Used           int64   `json:"spent"`          // tokens used from the shares with a usage report, open reservations included
	Unreported     int64   `json:"unknown"`        // tokens of the shares without a usage report
	LongTermDemand float64 `json:"usual"`          // tokens per second
	DemandSquares  float64 `json:"squares"`        // sum of Usage.DemandSquare, (tokens per second)²
	PeakRequest    int64   `json:"peak"`           // tokens of the largest recent reservation
	Shortage       bool    `json:"lack,omitempty"` // a request on another host cannot get the tokens that it needs
}

// unspent returns the tokens that no host has used, as far as known. Shares
// without a usage report count as used in full.
func (v budgetView) unspent() int64 {
	return max(0, v.prepaid-v.settled-v.used-v.others.Used-v.others.Unreported)
}

// free returns the tokens that are neither settled nor held in a share.
func (v budgetView) free() int64 {
	return max(0, v.prepaid-v.settled-v.amount-v.others.Amount)
}

// perHostFraction returns the fraction that each host gets when something is
// divided evenly among all hosts.
func (v budgetView) perHostFraction() float64 { return 1 / float64(max(1, v.hosts)) }

// largestPeakRequest returns the tokens of the largest recent reservation on any
// host.
func (v budgetView) largestPeakRequest() int64 { return max(v.peakRequest, v.others.PeakRequest) }

// demandFraction returns this host's fraction of the long-term demand.
func (v budgetView) demandFraction() float64 {
	if total := v.longTermDemand + v.others.LongTermDemand; total > 0 {
		return v.longTermDemand / total
	}
	return v.perHostFraction()
}

// demandSpread returns the fraction of hosts over which the demand is spread,
// from 0 to 1, computed as the inverse participation ratio.
func (v budgetView) demandSpread() float64 {
	total, squares := v.longTermDemand+v.others.LongTermDemand, v.demandSquare+v.others.DemandSquares
	if total <= 0 {
		return 0
	}
	return min(1, v.perHostFraction()/max(squares/(total*total), v.perHostFraction()))
}

// evenlyDividedFraction returns the fraction of the unspent budget that is
// divided evenly among all hosts.
func (v budgetView) evenlyDividedFraction() float64 {
	return minEvenFraction + (maxEvenFraction-minEvenFraction)*v.evenWeight()
}

// plannedDemand returns the demand to plan for, in tokens per second. It is at
// least a fraction of the mean demand per host. That fraction is 0 while
// demandSpread is at most spreadThreshold, and rises to 1 as the demand becomes
// evenly spread over all hosts.
func (v budgetView) plannedDemand() float64 {
	return max(v.recentDemand, v.evenWeight()*v.meanDemand())
}

// evenWeight returns the weight of meanDemand in the demand that is expected on this
// host: 0 while demandSpread is at most spreadThreshold, 1 if the demand is evenly
// spread over all hosts.
func (v budgetView) evenWeight() float64 {
	return max(0, v.demandSpread()-spreadThreshold) / (1 - spreadThreshold)
}

// meanDemand returns the long-term demand per host, in tokens per second.
func (v budgetView) meanDemand() float64 {
	return (v.longTermDemand + v.others.LongTermDemand) * v.perHostFraction()
}

// expectedDemand returns the demand that is most likely during the next seconds, in
// tokens per second. Unlike plannedDemand it is not increased for safety, so the
// sum of all hosts is the demand of the fleet.
func (v budgetView) expectedDemand() float64 {
	own := (v.recentDemand + v.longTermDemand) / 2
	return own + v.evenWeight()*(v.meanDemand()-own)
}

// reserved returns the number of tokens that shares leave in the account for large
// requests. It is 0 if every host can hold peakRequestsCovered of the largest requests.
func (v budgetView) reserved() int64 {
	peak := float64(v.largestPeakRequest())
	unspent := float64(v.unspent())
	missing := 1 - unspent*v.perHostFraction()/max(1, peakRequestsCovered*peak)
	return int64(max(0, missing) * min(reservedRequests*peak, maxReservedFraction*unspent))
}

// desiredUnspent returns the number of unspent tokens that the host should
// hold.
func (v budgetView) desiredUnspent() int64 {
	coverTime := demandCoverTime
	if v.others.Shortage {
		coverTime = shortageCoverTime
	}
	if v.pooled && !v.holds {
		return 0
	}
	unspent := float64(v.unspent() - v.reserved())
	evenlyDivided := v.evenlyDividedFraction()
	allocation := int64(unspent * (evenlyDivided*v.perHostFraction() + (allocatableFraction-evenlyDivided)*v.demandFraction()))
	lent := min(v.lentDemand, v.plannedDemand())
	covered := int64((v.plannedDemand()-lent)*coverTime.Seconds()+lent*min(coverTime, lentCoverTime).Seconds()) + v.coveredPeaks()
	if v.pooled {
		return min(covered, allocation)
	}
	return max(min(covered, allocation), int64(minEvenFraction*v.perHostFraction()*unspent))
}

// coveredPeaks returns the tokens for large requests that the share covers in addition to
// the planned demand. With pooled shares a host covers only its own largest requests. While
// another host lacks tokens, only a broker that lends covers any: the others get the tokens
// of a large request when they need them.
func (v budgetView) coveredPeaks() int64 {
	switch {
	case v.others.Shortage && v.lentDemand == 0:
		return 0
	case !v.pooled:
		return peakRequestsCovered * v.largestPeakRequest()
	}
	return peakRequestsCovered * v.peakRequest
}

// waitingNeed returns the unspent tokens that the largest waiting reservation needs,
// and those that smaller ones may take until it is checked again. It is 0 if none waits.
func (v budgetView) waitingNeed() int64 {
	if v.largestWaiting == 0 {
		return 0
	}
	return v.largestWaiting + int64(v.plannedDemand()*minReserveWait.Seconds()+v.meanRequest)
}

// keptForWaiting returns the unspent tokens that the host keeps for its waiting
// reservations while another host lacks tokens after it has announced that. If what this
// host has left and what is free does not cover the largest one, it keeps only what the
// smallest needs: two hosts that each kept a part of what they need would both be refused.
func (v budgetView) keptForWaiting() int64 {
	remaining := v.amount - v.used
	available := remaining + v.free()
	wanted := max(v.waitingNeed(), v.totalWaiting)
	switch {
	case remaining >= v.largestWaiting:
		return min(remaining, wanted) // waits for a higher spending limit, or not at all
	case available >= v.largestWaiting:
		return min(available, wanted)
	case available >= v.smallestWaiting:
		return v.smallestWaiting
	}
	return 0
}

// nextAmount returns the share that the host should hold, in tokens. It never
// takes more than is free, and takes reserved tokens only for a waiting
// reservation. A new broker does not know yet what other holders have
// used; without a shortage the share is not reduced until it does.
func (v budgetView) nextAmount() int64 {
	if v.shortageRepeated {
		return v.used + v.keptForWaiting()
	}
	desired, remaining := v.desiredUnspent(), v.amount-v.used
	threshold := returnThreshold
	if v.free() < v.reserved() {
		threshold = reserveReturnThreshold
	}
	switch {
	case remaining < v.largestWaiting:
		return v.amount + max(0, min(v.free(), v.waitingNeed()-remaining), min(v.free()-v.reserved(), max(desired, v.totalWaiting)-remaining))
	case float64(remaining) < refillThreshold*float64(desired):
		return v.amount + max(0, min(v.free()-v.reserved(), desired-remaining))
	case v.brokered && v.others.Unreported > 0 && !v.others.Shortage:
		return v.amount
	case float64(remaining) > threshold*float64(desired):
		return v.amount - (remaining - desired)
	}
	return v.amount
}

// headroomTime returns the time for which the headroom of a ceiling covers the
// demand.
func (v budgetView) headroomTime() time.Duration {
	totalDemand := v.longTermDemand + v.others.LongTermDemand
	if totalDemand <= 0 {
		return maxHeadroomTime
	}
	secondsLeft := float64(v.unspent()) / totalDemand
	return min(max(time.Duration(headroomTimeFraction*secondsLeft*float64(time.Second)), minHeadroomTime), maxHeadroomTime)
}

// hostPart returns this host's part, in tokens, of a fraction of the prepaid total that
// is divided among all hosts.
func (v budgetView) hostPart(fraction float64) float64 {
	return fraction * float64(v.prepaid) * (evenPartFraction*v.perHostFraction() + (1-evenPartFraction)*v.demandFraction())
}

// burst returns the tokens that the host may spend above the expected demand while it
// cannot reach the table.
func (v budgetView) burst() float64 {
	// The variance of an average that decays with longDecay is that of the spending
	// in one second, divided by 2*longDecay.
	averageVariance := max(0, v.longTermDemand*v.longTermDemand-v.demandSquare)
	deviation := math.Sqrt(averageVariance * 2 * longDecay.Seconds() * burstTime.Seconds())
	even := minBurstFraction * float64(v.prepaid) * v.perHostFraction()
	return max(even, min(burstDeviations*deviation, v.hostPart(maxBurstFraction)))
}

// usage returns the customer's entry in the next usage report.
func (v budgetView) usage(epoch int) Usage {
	wanted := v.plannedDemand()*v.headroomTime().Seconds() + v.meanRequest
	even := min(minHeadroomFraction, minHeadroomFleetFraction*v.perHostFraction()) * float64(v.prepaid)
	headroom := max(int64(max(even, min(wanted, v.hostPart(maxHeadroomFraction)))), v.waitingNeed(), v.totalWaiting)
	rate, burst := v.expectedDemand(), max(1, v.burst())
	return Usage{
		Epoch:          epoch,
		Used:           v.used,
		Ceiling:        v.used + headroom,
		CeilingRate:    int64(math.Ceil(rate + burst/burstRamp.Seconds())),
		SustainedRate:  int64(rate),
		Burst:          int64(burst),
		LongTermDemand: int64(v.longTermDemand),
		DemandSquare:   int64(v.demandSquare),
		PeakRequest:    v.peakRequest,
	}
}
