package replica

import "time"

// Faults are how a replica fails.
type Faults struct {
	Full        bool          // rejects every request
	Status      int           // of every answer; 0: 200
	Delay       time.Duration // before the first byte
	Silent      bool          // never answers
	CutAfter    int           // breaks streams off after that many events; 0: does not
	CutMidEvent bool          // with CutAfter: in the middle of the next event
	LoseAnswer  bool          // runs requests and closes the connection without an answer
}
