package gateway

// RetryBudget bounds the further attempts of this daemon.
type RetryBudget interface {
	// Allow takes one retry from the budget and reports whether there was one.
	Allow() bool
}
