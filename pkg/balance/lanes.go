package balance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// longPrompt is the prompt size in tokens from which a request belongs to the
	// long lane. Reading that many takes a good part of the time in which a
	// short request expects its first token.
	longPrompt = 5000
	// outputWeight is the prompt tokens that an output token counts as in the work
	// of a lane.
	outputWeight = 4
	// longWeight gives the long lane more room than its work needs on average, as
	// its requests differ much in size.
	longWeight = 1.7
	// The long lane gets at least minLane and at most maxLane of the targets if
	// there is work for both.
	minLane = 0.2
	maxLane = 0.8
	// minForLanes is the number of targets from which there are lanes.
	minForLanes = 4
	// laneTerm is the time over which the work of the lanes is averaged.
	laneTerm = 15 * time.Second
	// initialLane is the part of the long lane before the work is known.
	initialLane = 0.6
	// laneStep is the least change of the long lane's part. Hosts see different
	// requests, and targets at the border would be in both lanes if each host
	// followed its own measurement closely.
	laneStep = 0.12
	// laneKey names the order in which targets belong to the long lane.
	laneKey = "long prompts"
	// laneFull is the load relative to the slots from which requests of the short
	// lane may go to all targets.
	laneFull = 0.8
)

// lanes keeps long prompts apart from short ones, which would otherwise wait
// behind them for their first token. Every host divides the targets in the same
// order, so that no message is needed.
type lanes struct {
	long, short float64 // work, decaying
	at          time.Time
	current     float64 // part of the targets in the long lane
}

func newLanes() *lanes { return &lanes{current: initialLane} }

// observe counts the work of a request.
func (l *lanes) observe(r Request) {
	if passed := r.Now.Sub(l.at); passed > 0 {
		decay := math.Exp(-passed.Seconds() / laneTerm.Seconds())
		l.long, l.short, l.at = l.long*decay, l.short*decay, r.Now
	}
	work := float64(r.PromptTokens + outputWeight*r.OutputTokens)
	if r.PromptTokens >= longPrompt {
		l.long += work
	} else {
		l.short += work
	}
}

// share returns the part of the targets in the long lane.
func (l *lanes) share() float64 {
	wanted := math.Round(l.long / max(1, l.long+l.short))
	if l.long > 0 && l.short > 0 {
		wanted = min(max(longWeight*l.long/(longWeight*l.long+l.short), minLane), maxLane)
	}
	if math.Abs(wanted-l.current) >= laneStep {
		l.current = wanted
	}
	return l.current
}

// divide returns the targets of the request's lane.
func (l *lanes) divide(all []*state, r Request) []*state {
	if r.PromptTokens == 0 || len(all) < minForLanes {
		return all
	}
	ordered := slices.SortedFunc(slices.Values(all), func(a, b *state) int { return cmp.Compare(a.laneRank, b.laneRank) })
	long := int(math.Round(l.share() * float64(len(ordered))))
	if r.PromptTokens >= longPrompt {
		return ordered[:max(1, long)]
	}
	return ordered[min(long, len(ordered)-1):]
}

// isFull reports whether even the least loaded candidate has hardly a free slot.
func isFull(all []candidate) bool {
	for _, c := range all {
		if c.Slots == 0 || c.requests < laneFull*float64(c.Slots) {
			return false
		}
	}
	return true
}
