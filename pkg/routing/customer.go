package routing

// Customer owns API keys and a prepaid budget.
type Customer struct {
	Name     string
	Keys     []string
	Priority *int   // takes precedence over the route's; nil: none
	Prepaid  *int64 // tokens; nil: no limit
}
