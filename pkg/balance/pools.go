package balance

import (
	"math"
	"time"
)

const (
	// longPromptTokens is the prompt length from which a request belongs to the
	// long-prompt pool. Prefill of that many tokens takes a large part of the time
	// within which a short request must get its first token.
	longPromptTokens = 5000
	// outputTokenWeight is the work of one output token, in prompt tokens.
	outputTokenWeight = 4
	// longWorkWeight multiplies the work of the long-prompt pool when the targets are
	// divided. The pool gets more targets than its work needs on average, because the
	// sizes of its requests vary widely.
	longWorkWeight = 1.7
	// minLongShare and maxLongShare bound the share of targets in the long-prompt
	// pool while there is work for both pools.
	minLongShare = 0.2
	maxLongShare = 0.8
	// minTargetsForPools is the smallest number of targets of a service that are
	// divided into pools.
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
	// poolFullLoad is the number of open requests per slot from which a target counts
	// as full. If all targets of the short-prompt pool are full, its requests may go to
	// all targets.
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

// count counts the work of a request before its target is chosen, and notes in the request
// whether it is light.
func (p *poolSplit) count(r *Request) {
	if len(r.Excluded) == 0 { // first attempt: a retry excludes the targets tried before, and its work is already counted
		p.addWork(r)
	}
	r.light = p.isLight(r)
}

// addWork counts the work of a request for its pool.
func (p *poolSplit) addWork(r *Request) {
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
// counted work and returns it. The share is 0 or 1 if there is work for one pool
// only. Changes below minLongShareChange are ignored.
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
// prompt length is unknown or there are too few targets to divide. all is in the order of
// the pool scores.
func (p *poolSplit) targetsFor(all []*state, r *Request) []*state {
	if r.PromptTokens == 0 || len(all) < minTargetsForPools {
		return all
	}
	longCount := int(math.Round(p.updateLongShare() * float64(len(all))))
	if r.PromptTokens >= longPromptTokens {
		return all[:max(1, longCount)]
	}
	return all[min(longCount, len(all)-1):]
}

// isFull reports whether every candidate has at least poolFullLoad open requests per
// slot. A candidate with an unknown number of slots is not full.
func isFull(all []candidate) bool {
	for i := range all {
		if c := &all[i]; c.Slots == 0 || c.requests < poolFullLoad*float64(c.Slots) {
			return false
		}
	}
	return true
}
