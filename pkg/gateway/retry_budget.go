package gateway

// RetryBudget limits the retries of this daemon.
type RetryBudget interface {
	// Allow consumes one retry from the budget. It returns false if the budget is
	// exhausted.
	Allow() bool
}
