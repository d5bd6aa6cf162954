package routing

// Customer owns API keys and a prepaid budget.
type Customer struct {
	Name     string
	Keys     []string
	Priority *int   // takes precedence over the route's priority; nil: the route's applies
	Prepaid  *int64 // prepaid tokens; nil: no limit
}
