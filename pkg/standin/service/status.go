package service

// State is the state of a service in its status report.
type State string

// States of a service.
const (
	OK       State = "ok"
	Draining State = "draining"
)

// Status is the response to GET /status.
type Status struct {
	Status   State `json:"status"`
	Inflight int   `json:"inflight"`
	Capacity int   `json:"capacity"`
}
