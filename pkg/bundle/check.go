package bundle

import (
	"fmt"
)

// Check validates a bundle and returns every problem in one *CheckError. Empty
// fields are checked with their defaults. Check cannot tell whether the budgets
// exist; the admin API compares them with the table.
func Check(b Bundle) error {
	c := &checker{}
	if b.Version != 0 && b.Version != b.Base+1 {
		c.report("version", b.Version, fmt.Sprintf("0 or base plus 1, here %d", b.Base+1))
	}
	if b.Base > maxBase {
		c.report("base", b.Base, fmt.Sprintf("0 to %d", maxBase))
	}
	n := Normalized(b)
	c.operators(n)
	services := c.services(n)
	c.customers(n, services)
	c.stalePolicy(n)
	return c.err()
}

func (c *checker) stalePolicy(b Bundle) {
	switch b.StaleBundle {
	case ServeStale:
		c.intRange("stale_bundle_seconds", int64(b.StaleBundleSeconds), 0, MaxStaleSeconds)
	case RefuseStale:
		c.intRange("stale_bundle_seconds", int64(b.StaleBundleSeconds), 1, MaxStaleSeconds)
	default:
		c.report("stale_bundle", string(b.StaleBundle), fmt.Sprintf("%q or %q", ServeStale, RefuseStale))
	}
}
