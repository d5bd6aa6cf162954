package gateway

import "github.com/peppertrail/peppertrail/pkg/home"

// Authorities finds the home.Authority that is responsible for a budget.
type Authorities interface {
	// For returns the authority at the current home of a budget. Callers look it up
	// for every call, because the home changes when daemons join or leave.
	For(customer, budget string) home.Authority
}
