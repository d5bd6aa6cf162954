package gateway

import "github.com/peppertrail/peppertrail/pkg/home"

// Authorities finds the authority over a budget.
type Authorities interface {
	// For returns the authority that is the home of a budget now. It is asked
	// again for each call, because the home moves when daemons join or leave.
	For(customer, budget string) home.Authority
}
