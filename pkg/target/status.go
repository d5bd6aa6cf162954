package target

import "time"

// Status is what one daemon knows about a target.
type Status struct {
	Target                Target    `json:"target"`
	State                 State     `json:"state"`
	Since                 time.Time `json:"since"` // when State was entered; in Joining, when the first report arrived, if any
	Snapshot              Snapshot  `json:"snapshot"`
	Outstanding           int       `json:"outstanding"`  // dispatches by this daemon that have not ended
	DispatchesSinceReport int       `json:"since_report"` // dispatches by this daemon that Snapshot may not contain, at most Outstanding
}
