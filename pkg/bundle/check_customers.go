package bundle

import (
	"encoding/hex"
	"fmt"
	"math"
	"strings"
)

// seenCustomerValues holds the values used by the customers checked so far. Each
// map goes from a value to the path of its first use.
type seenCustomerValues struct {
	ids     map[string]string
	keys    map[string]string
	budgets map[string]string
}

func (c *checker) customers(b Bundle, services map[string]bool) {
	seen := seenCustomerValues{
		ids:     make(map[string]string),
		keys:    make(map[string]string),
		budgets: make(map[string]string),
	}
	for i, customer := range b.Customers {
		path := fmt.Sprintf("customers[%d]", i)
		c.id(path+".id", customer.ID)
		c.unique(seen.ids, path+".id", customer.ID)
		c.keyHashes(path, customer, seen.keys)
		c.customerServices(path, customer, services)
		c.customerBudgets(path, customer, seen.budgets)
		c.customerLimits(path, customer)
	}
}

func (c *checker) keyHashes(path string, customer Customer, seen map[string]string) {
	for i, hash := range customer.KeyHashes {
		field := fmt.Sprintf("%s.key_hashes[%d]", path, i)
		if !validKeyHash(hash) {
			c.report(field, hash, "the SHA-256 of an API key: 64 lower-case hex digits")
			continue
		}
		c.unique(seen, field, hash)
	}
}

func validKeyHash(hash string) bool {
	if len(hash) != keyHashDigits || hash != strings.ToLower(hash) {
		return false
	}
	_, err := hex.DecodeString(hash)
	return err == nil
}

func (c *checker) customerServices(path string, customer Customer, services map[string]bool) {
	seen := make(map[string]string)
	for i, name := range customer.Services {
		field := fmt.Sprintf("%s.services[%d]", path, i)
		if !services[name] {
			c.report(field, name, "the name of a service in services")
		}
		c.unique(seen, field, name)
	}
}

// customerBudgets checks the budget ids. No two customers may name the same
// budget, because a budget row belongs to one customer.
func (c *checker) customerBudgets(path string, customer Customer, seen map[string]string) {
	c.id(path+".budget", customer.Budget)
	c.unique(seen, path+".budget", customer.Budget)
	for i, id := range customer.Budgets {
		field := fmt.Sprintf("%s.budgets[%d]", path, i)
		c.id(field, id)
		c.unique(seen, field, id)
	}
}

func (c *checker) customerLimits(path string, customer Customer) {
	c.intRange(path+".max_priority", int64(customer.MaxPriority), 0, HighestPriority)
	c.intRange(path+".grant_cover_seconds", int64(customer.CoverSeconds), 1, MaxCoverSeconds)
	c.intRange(path+".grant_min_tokens", customer.MinTokens, 1, MaxMinTokens)
	if math.IsNaN(customer.MaxShare) || customer.MaxShare <= 0 || customer.MaxShare > 1 {
		c.report(path+".grant_max_share", customer.MaxShare, "above 0 and at most 1")
	}
}
