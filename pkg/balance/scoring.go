package balance

import (
	"math/rand/v2"

	"github.com/peppertrail/peppertrail/pkg/rendezvous"
)

// scoring gives the scores of targets for one request.
type scoring struct {
	shared bool // the request has a shared prompt part
	key    rendezvous.Key
}

func newScoring(r *Request) scoring {
	id := sharedPartID(r.Parts)
	return scoring{shared: id != "", key: rendezvous.NewKey(id)}
}

// score returns the rendezvous score of a target for the shared part, a random number without one.
func (s scoring) score(target string) uint64 {
	if !s.shared {
		return rand.Uint64()
	}
	return s.key.Score(target)
}
