package integration

import (
	"math/rand/v2"
	"slices"
	"time"
)

// fault is one planned fault.
type fault struct {
	kind  faultKind
	index int           // index of the daemon or target
	begin time.Duration // since the start of the plan
	end   time.Duration // since the start of the plan
}

// planSettings describes the fault plan of a test.
type planSettings struct {
	kinds        []faultKind
	daemons      int
	targets      int
	duration     time.Duration
	meanInterval time.Duration // mean time between the starts of two drawn faults
	minDuration  time.Duration // shortest duration of a fault
	maxDuration  time.Duration // upper limit of the duration of a fault
}

// planFaults draws a random schedule. Faults of different resources may overlap,
// faults of the same resource do not.
func planFaults(r *rand.Rand, s planSettings) []fault {
	var plan []fault
	busyUntil := make(map[resource]time.Duration) // end of the last fault of each resource, since the start of the plan
	for at := time.Duration(0); at < s.duration; at += s.meanInterval/2 + time.Duration(r.Int64N(int64(s.meanInterval))) {
		f := fault{kind: s.kinds[r.IntN(len(s.kinds))], begin: at}
		f.index = r.IntN(s.count(f.kind))
		f.end = at + s.minDuration + time.Duration(r.Int64N(int64(s.maxDuration-s.minDuration)))
		used := f.kind.resource(f.index)
		if busyUntil[used] > f.begin {
			continue
		}
		busyUntil[used] = f.end
		plan = append(plan, f)
	}
	return plan
}

// count returns how many resources a fault of the kind can act on.
func (s planSettings) count(k faultKind) int {
	switch k.resource(0).kind {
	case "daemon", "peer link", "platform link":
		return s.daemons
	case "target", "target link":
		return s.targets
	default:
		return 1
	}
}

// faultEvent is the start or the end of a fault.
type faultEvent struct {
	at    time.Duration // since the start of the plan
	fault fault
	ends  bool // true: the fault ends; false: it starts
}

// faultEvents returns the starts and ends of all faults in order of time.
func faultEvents(plan []fault) []faultEvent {
	var all []faultEvent
	for _, f := range plan {
		all = append(all, faultEvent{at: f.begin, fault: f}, faultEvent{at: f.end, fault: f, ends: true})
	}
	slices.SortStableFunc(all, func(a, b faultEvent) int { return int(a.at - b.at) })
	return all
}
