package balance

import (
	"slices"
	"time"
)

// minLimitedShare is the share of the targets of a service that name a rate limit from which the
// pools are widened. With fewer, the other targets of a pool take what these leave.
const minLimitedShare = 0.25

// rateLimited reports whether a target names a limit of its requests.
func (r *Request) rateLimited(t *state) bool { return r.RateLimited != nil && r.RateLimited(t.Target) }

// limitedFor returns the time until which the target takes no more requests of the kind of r.
func (s *state) limitedFor(r *Request) time.Time {
	if r.light {
		return s.lightLimitedUntil
	}
	return s.limitedUntil
}

// withheld reports whether the rate limit of the target keeps the request from it. A limit that
// has ended does not.
func (s *state) withheld(r *Request) bool {
	return r.rateLimited(s) && (r.ExcludeRateLimited || r.Now.Before(s.limitedFor(r)))
}

// widenPool adds targets of the other pool while many targets of the service name a rate limit:
// for a long prompt those with a limit, for a short one those without. A limit counts requests,
// not work, so the few long prompts fit within it and leave the other targets to the many
// short ones.
func widenPool(pool, all []*state, r *Request) []*state {
	if r.RateLimited == nil || len(pool) == len(all) {
		return pool
	}
	var limited, others []*state
	for _, t := range all {
		if r.rateLimited(t) {
			limited = append(limited, t)
		} else {
			others = append(others, t)
		}
	}
	if float64(len(limited)) < minLimitedShare*float64(len(all)) {
		return pool
	}
	added := others
	if r.PromptTokens >= longPromptTokens {
		added = limited
	}
	wide := slices.Clone(pool)
	for _, t := range added {
		if !slices.Contains(pool, t) {
			wide = append(wide, t)
		}
	}
	return wide
}

// isLight reports whether a request belongs to the pool for short prompts of a service that has
// long ones as well.
func (p *poolSplit) isLight(r *Request) bool {
	return r.PromptTokens > 0 && r.PromptTokens < longPromptTokens && p.longWork > 0
}
