package bundle

import (
	"slices"

	"github.com/peppertrail/peppertrail/pkg/target"
)

// Normalized returns a copy of b with defaults filled in, empty lists in place
// of absent ones and Version set to Base plus 1. Equivalent bundles have the
// same normalized form, which is the form that operators sign.
func Normalized(b Bundle) Bundle {
	n := withDefaults(b)
	n.Version = n.Base + 1
	return n
}

func withDefaults(b Bundle) Bundle {
	n := b
	n.Operators = cloneList(b.Operators)
	n.Customers = cloneList(b.Customers)
	n.Services = cloneList(b.Services)
	if n.StaleBundle == "" {
		n.StaleBundle = DefaultStalePolicy
	}
	if n.StaleBundle == RefuseStale && n.StaleBundleSeconds == 0 {
		n.StaleBundleSeconds = DefaultStaleSeconds
	}
	for i := range n.Customers {
		n.Customers[i] = customerWithDefaults(n.Customers[i])
	}
	for i := range n.Services {
		n.Services[i] = serviceWithDefaults(n.Services[i])
	}
	return n
}

func customerWithDefaults(c Customer) Customer {
	c.KeyHashes = cloneList(c.KeyHashes)
	c.Services = cloneList(c.Services)
	c.Budgets = slices.Clone(c.Budgets)
	if c.CoverSeconds == 0 {
		c.CoverSeconds = DefaultCoverSeconds
	}
	if c.MinTokens == 0 {
		c.MinTokens = DefaultMinTokens
	}
	if c.MaxShare == 0 {
		c.MaxShare = DefaultMaxShare
	}
	return c
}

func serviceWithDefaults(s Service) Service {
	s.NonIdempotent = cloneList(s.NonIdempotent)
	if s.SlowStart == 0 {
		s.SlowStart = DefaultSlowStart
	}
	if s.MaxOutput == 0 && s.Kind != target.Service {
		s.MaxOutput = DefaultMaxOutput
	}
	return s
}

// cloneList returns a copy of a list, and an empty list for nil.
func cloneList[T any](list []T) []T {
	return append(make([]T, 0, len(list)), list...)
}
