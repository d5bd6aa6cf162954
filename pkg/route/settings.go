package route

import "time"

// Priorities is the number of request priorities.
const Priorities = 10

// Settings configure a Picker.
type Settings struct {
	// AffinityBound is the largest load, as a multiple of the mean load, at
	// which a target still takes the requests of its prompt prefixes.
	AffinityBound float64
	// AffinityFree is the load, in requests per place, up to which a target
	// takes the requests of its prefixes whatever the mean is.
	AffinityFree float64
	// AffinityDepth is how many targets of the prefix's order are tried.
	AffinityDepth int
	// QueueFactor is the longest queue that a target may have, as a multiple of its capacity.
	QueueFactor float64
	// PriorityShare is the share of the queue that a request of each priority
	// may fill, 0 to 1. It should not decrease with the priority.
	PriorityShare [Priorities]float64
	// Occupancy is the mean time that a request holds a place at a target,
	// used until ObserveOccupancy knows better. It converts queue lengths to
	// waits; reports carry no times.
	Occupancy time.Duration
	// Rand is the source of random numbers; nil means the process-wide one.
	Rand Rand
}

// Defaults of Settings.
const (
	DefaultAffinityBound = 1.1
	// DefaultAffinityFree leaves half of the places for requests that the
	// reports don't show yet.
	DefaultAffinityFree  = 0.5
	DefaultAffinityDepth = 3
	DefaultQueueFactor   = 2.0
	DefaultOccupancy     = 2 * time.Second
	// DefaultLowestShare is the share of the queue open to priority 0. The
	// share grows evenly to 1 at the highest priority.
	DefaultLowestShare = 0.4
)

// DefaultSettings returns the settings used when the configuration names none.
func DefaultSettings() Settings {
	s := Settings{
		AffinityBound: DefaultAffinityBound,
		AffinityFree:  DefaultAffinityFree,
		AffinityDepth: DefaultAffinityDepth,
		QueueFactor:   DefaultQueueFactor,
		Occupancy:     DefaultOccupancy,
	}
	step := (1 - DefaultLowestShare) / (Priorities - 1)
	for p := range s.PriorityShare {
		s.PriorityShare[p] = DefaultLowestShare + step*float64(p)
	}
	return s
}

// queueShare returns the queueShare of the queue open to a priority. Priorities outside
// the range count as the nearest one inside.
func (s *Settings) queueShare(priority int) float64 {
	return s.PriorityShare[min(max(priority, 0), Priorities-1)]
}
