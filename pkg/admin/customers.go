package admin

import (
	"context"
	"net/http"

	"github.com/peppertrail/peppertrail/pkg/bundle"
)

// CustomerSummary describes a customer of the bundle in force, without its key hashes.
type CustomerSummary struct {
	ID           string   `json:"id"`
	Keys         int      `json:"keys"` // number of API keys
	Services     []string `json:"services"`
	Budget       string   `json:"budget"`            // id of the budget that requests use by default
	Budgets      []string `json:"budgets,omitempty"` // ids of further budgets that a request may name
	MaxPriority  int      `json:"max_priority"`
	CoverSeconds int      `json:"grant_cover_seconds"` // seconds of traffic that a grant should cover
	MinTokens    int64    `json:"grant_min_tokens"`    // smallest grant to request, in tokens
	MaxShare     float64  `json:"grant_max_share"`     // largest share of the free budget, 0 to 1, for a grant above MinTokens
}

// CustomersReply lists the customers of a bundle version.
type CustomersReply struct {
	Version   uint64            `json:"version"`
	Customers []CustomerSummary `json:"customers"`
}

func (s *Server) listCustomers(ctx context.Context, _ string, _ *http.Request) (any, error) {
	b, err := s.currentBundle(ctx)
	if err != nil {
		return nil, err
	}
	reply := CustomersReply{Version: b.Version, Customers: []CustomerSummary{}}
	for _, c := range b.Customers {
		reply.Customers = append(reply.Customers, newCustomerSummary(c))
	}
	return reply, nil
}

func newCustomerSummary(c bundle.Customer) CustomerSummary {
	return CustomerSummary{
		ID:           c.ID,
		Keys:         len(c.KeyHashes),
		Services:     c.Services,
		Budget:       c.Budget,
		Budgets:      c.Budgets,
		MaxPriority:  c.MaxPriority,
		CoverSeconds: c.CoverSeconds,
		MinTokens:    c.MinTokens,
		MaxShare:     c.MaxShare,
	}
}
