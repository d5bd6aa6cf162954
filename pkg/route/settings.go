package route

import "time"

// NumPriorities is the number of request priorities.
const NumPriorities = 10

// Settings configures a Picker.
type Settings struct {
	// AffinityLoadFactor is the largest load of a target, as a multiple of the
	// mean load, at which the target is picked because it ranks high for the
	// prompt prefix. The loads count the new request.
	AffinityLoadFactor float64
	// AffinityLoadFloor is the load, in requests per slot including the new
	// request, up to which a target that ranks high for the prompt prefix is
	// picked regardless of the mean load.
	AffinityLoadFloor float64
	// AffinityCandidates is the number of targets, in the order of their rank for a
	// prompt prefix, that are tried before the prefix is ignored.
	AffinityCandidates int
	// QueueFactor is the longest queue that a target may have, as a multiple of
	// its slots.
	QueueFactor float64
	// QueueShares is, for each priority, the share of the longest queue that
	// its requests may fill, 0 to 1. It should not decrease with the priority.
	QueueShares [NumPriorities]float64
	// ExecutionTime is the initial estimate of the mean time that a request holds a
	// slot of a target, used until ObserveExecutionTime is called for the service.
	// It converts queue lengths to waits, since reports contain no times.
	ExecutionTime time.Duration
	// Rand is the source of random numbers; nil means the process-wide source.
	Rand Rand
}

// Defaults of Settings.
const (
	DefaultAffinityLoadFactor = 1.1
	// DefaultAffinityLoadFloor leaves half of a target's slots for requests that its
	// report does not show yet.
	DefaultAffinityLoadFloor  = 0.5
	DefaultAffinityCandidates = 3
	DefaultQueueFactor        = 2.0
	DefaultExecutionTime      = 2 * time.Second
	// DefaultLowestQueueShare is the share of the queue that requests of priority 0
	// may fill. The share grows linearly to 1 at the highest priority.
	DefaultLowestQueueShare = 0.4
)

// DefaultSettings returns the settings used when the configuration contains
// none.
func DefaultSettings() Settings {
	s := Settings{
		AffinityLoadFactor: DefaultAffinityLoadFactor,
		AffinityLoadFloor:  DefaultAffinityLoadFloor,
		AffinityCandidates: DefaultAffinityCandidates,
		QueueFactor:        DefaultQueueFactor,
		ExecutionTime:      DefaultExecutionTime,
	}
	step := (1 - DefaultLowestQueueShare) / (NumPriorities - 1)
	for p := range s.QueueShares {
		s.QueueShares[p] = DefaultLowestQueueShare + step*float64(p)
	}
	return s
}

// queueShareFor returns the share of the longest queue that requests of a priority
// may fill. A priority out of range is treated as the nearest one in range.
func (s *Settings) queueShareFor(priority int) float64 {
	return s.QueueShares[min(max(priority, 0), NumPriorities-1)]
}
