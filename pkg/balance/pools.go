package balance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// longPromptTokens is the prompt length from which a request belongs to the
	// long-prompt pool. Prefill of that many tokens takes a good part of the time
	// in which a short request expects its first token.
	longPromptTokens = 5000
	// outputTokenWeight is the number of prompt tokens that one output token counts
	// as in the work of a pool.
	outputTokenWeight = 4
	// longWorkWeight gives the long-prompt pool more targets than its work needs on
	// average, because the sizes of its requests vary widely.
	longWorkWeight = 1.7
	// minLongShare and maxLongShare bound the share of targets in the long-prompt
	// pool while there is work for both pools.
	minLongShare = 0.2
	maxLongShare = 0.8
	// minTargetsForPools is the number of targets from which they are divided into
	// pools.
	minTargetsForPools = 4
	// workAveragingTime is the time constant of the decaying sums of work.
	workAveragingTime = 15 * time.Second
	// initialLongShare is the share of targets in the long-prompt pool before any
	// work is counted.
	initialLongShare = 0.6
	// minLongShareChange is the smallest change of the long-prompt pool's share that
	// takes effect. Hosts see different requests: if each host followed its own
	// measurement closely, targets at the boundary would be in both pools.
	minLongShareChange = 0.12
	// poolOrderKey is the rendezvous key that gives the order in which targets are
	// assigned to the long-prompt pool.
	poolOrderKey = "long prompts"
	// poolFullLoad is the load per slot from which requests of the short-prompt pool
	// may go to all targets.
	poolFullLoad = 0.8
)

// poolSplit divides the targets of a service into a pool for long prompts and one
// for short prompts, which would otherwise wait behind long ones for their first
// token. All hosts assign the targets in the same order, so they need no messages
// to agree.
type poolSplit struct {
	longWork, shortWork float64 // weighted prompt and output tokens, decaying exponentially
	updatedAt           time.Time
	longShare           float64 // share of targets in the long-prompt pool
}

func newPoolSplit() *poolSplit { return &poolSplit{longShare: initialLongShare} }

// addWork counts the work of a request for its pool.
func (p *poolSplit) addWork(r Request) {
	if elapsed := r.Now.Sub(p.updatedAt); elapsed > 0 {
		decay := math.Exp(-elapsed.Seconds() / workAveragingTime.Seconds())
		p.longWork, p.shortWork, p.updatedAt = p.longWork*decay, p.shortWork*decay, r.Now
	}
	work := float64(r.PromptTokens + outputTokenWeight*r.OutputTokens)
	if r.PromptTokens >= longPromptTokens {
		p.longWork += work
	} else {
		p.shortWork += work
	}
}

// updateLongShare derives the share of targets in the long-prompt pool from the
// counted work and returns it. Changes below minLongShareChange are ignored.
func (p *poolSplit) updateLongShare() float64 {
	wanted := math.Round(p.longWork / max(1, p.longWork+p.shortWork))
	if p.longWork > 0 && p.shortWork > 0 {
		wanted = min(max(longWorkWeight*p.longWork/(longWorkWeight*p.longWork+p.shortWork), minLongShare), maxLongShare)
	}
	if math.Abs(wanted-p.longShare) >= minLongShareChange {
		p.longShare = wanted
	}
	return p.longShare
}

// targetsFor returns the targets in the request's pool, or all targets if the
// prompt length is unknown or there are too few targets to divide.
func (p *poolSplit) targetsFor(all []*state, r Request) []*state {
	if r.PromptTokens == 0 || len(all) < minTargetsForPools {
		return all
	}
	ordered := slices.SortedFunc(slices.Values(all), func(a, b *state) int { return cmp.Compare(a.poolRank, b.poolRank) })
	longCount := int(math.Round(p.updateLongShare() * float64(len(ordered))))
	if r.PromptTokens >= longPromptTokens {
		return ordered[:max(1, longCount)]
	}
	return ordered[min(longCount, len(ordered)-1):]
}

// isFull reports whether the load per slot of every candidate is at least
// poolFullLoad. A candidate with an unknown number of slots is not full.
func isFull(all []candidate) bool {
	for _, c := range all {
		if c.Slots == 0 || c.requests < poolFullLoad*float64(c.Slots) {
			return false
		}
	}
	return true
}
