package target

import "time"

// Status is what one daemon knows of a target.
type Status struct {
	Target      Target    `json:"target"`
	State       State     `json:"state"`
	Since       time.Time `json:"since"` // when the state was entered
	Snapshot    Snapshot  `json:"snapshot"`
	Outstanding int       `json:"outstanding"`  // dispatches by this daemon that have not ended
	SinceReport int       `json:"since_report"` // dispatches by this daemon since the snapshot
}
