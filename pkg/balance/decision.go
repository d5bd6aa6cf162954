package balance

import "slices"

// decision is the choice of a target for a request, with what it was made of.
type decision struct {
	found      bool
	chosen     candidate
	rank       int         // Attempt.Rank
	limit      float64     // load up to which a target is chosen for its affinity; 0: the request has no shared prompt part
	candidates []candidate // in no order; those without a connection included; valid until the next decision
}

// decide chooses a target for a request that count has prepared. It changes nothing but the
// share of the pools in split, so that Explain can use it on a copy.
func (s *Set) decide(split *poolSplit, r *Request) decision {
	d := decision{candidates: s.candidates(split, r)}
	d.choose(r)
	if !d.found && len(d.candidates) > 0 { // the other pool may have a connection left
		if all := s.filter(s.services[r.Service], r, (*state).available); len(all) > 0 {
			d.candidates = all
			d.choose(r)
		}
	}
	return d
}

// choose chooses one of the candidates to which a connection is available.
func (d *decision) choose(r *Request) {
	left := d.candidates
	for len(left) > 0 {
		d.chosen, d.rank, d.limit = choose(left, r)
		if r.Reachable == nil || r.Reachable(d.chosen.Target) {
			d.found = true
			return
		}
		last := len(left) - 1
		i := slices.IndexFunc(left, func(c candidate) bool { return c.state == d.chosen.state })
		left[i], left[last] = left[last], left[i]
		left[last].unreachable = true
		left = left[:last]
	}
}

// refusal returns the error of a request for which no target was found. The caller holds the
// mutex.
func (s *Set) refusal(d *decision, r *Request) error {
	if len(d.candidates) > 0 {
		return ErrNoConnection
	}
	return s.noTarget(r)
}
