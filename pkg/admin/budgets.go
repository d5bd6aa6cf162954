package admin

import (
	"context"
	"net/http"
	"slices"

	"github.com/peppertrail/peppertrail/pkg/budget"
	"github.com/peppertrail/peppertrail/pkg/bundle"
)

// grantPrefix is the key prefix of the grants of all holders.
const grantPrefix = "grant/"

// budgetPrefix is the key prefix of all budgets.
const budgetPrefix = "budget/"

func (s *Server) createBudget(ctx context.Context, _ string, r *http.Request) (any, error) {
	var create CreateBudget
	if err := decodeBody(r, &create); err != nil {
		return nil, err
	}
	if err := checkID("id", create.ID); err != nil {
		return nil, err
	}
	if err := checkTokens(create.Tokens, 0); err != nil {
		return nil, err
	}
	if err := s.checkOwner(ctx, create); err != nil {
		return nil, err
	}
	return s.budgetReply(s.budgets.update(ctx, create.ID, createDecision(create)))
}

// checkOwner requires that the customer is in the bundle in force, because a budget
// of a misspelt customer could never be used or removed. It refuses a budget that
// the bundle assigns to another customer.
func (s *Server) checkOwner(ctx context.Context, create CreateBudget) error {
	b, err := s.currentBundle(ctx)
	if err != nil {
		return err
	}
	known := false
	for _, c := range b.Customers {
		known = known || c.ID == create.Customer
		if c.ID != create.Customer && referencesBudget(c, create.ID) {
			return errorf(Conflict, "id %q: bundle version %d gives this budget to customer %q", create.ID, b.Version, c.ID)
		}
	}
	if !known {
		return errorf(BadRequest, "customer %q: allowed are the customers of bundle version %d; add it to the bundle first", create.Customer, b.Version)
	}
	return nil
}

func referencesBudget(c bundle.Customer, id string) bool {
	return c.Budget == id || slices.Contains(c.Budgets, id)
}

func (s *Server) topUp(ctx context.Context, _ string, r *http.Request) (any, error) {
	id, err := pathID(r, "budget")
	if err != nil {
		return nil, err
	}
	var t TopUp
	if err := decodeBody(r, &t); err != nil {
		return nil, err
	}
	if err := checkID("id", t.ID); err != nil {
		return nil, err
	}
	if err := checkTokens(t.Tokens, 1); err != nil {
		return nil, err
	}
	return s.budgetReply(s.budgets.update(ctx, id, topUpDecision(id, t)))
}

func (s *Server) budgetReply(record budget.Record, applied bool, err error) (any, error) {
	if err != nil {
		return nil, err
	}
	return BudgetReply{Budget: record, Free: record.Free(), Applied: applied}, nil
}

func (s *Server) listBudgets(ctx context.Context, _ string, r *http.Request) (any, error) {
	p, err := parsePage(r)
	if err != nil {
		return nil, err
	}
	rows, err := scanRows[budget.Record](ctx, s.config.Table, budgetPrefix, p)
	if err != nil {
		return nil, err
	}
	return BudgetList{Budgets: rows.values, Next: rows.next, Unreadable: rows.unreadable}, nil
}

// showBudget reads all grant rows, because grants are keyed by holder. With tens of
// thousands of grants the call takes seconds.
func (s *Server) showBudget(ctx context.Context, _ string, r *http.Request) (any, error) {
	id, err := pathID(r, "budget")
	if err != nil {
		return nil, err
	}
	_, record, err := s.budgets.read(ctx, id)
	if err != nil {
		return nil, err
	}
	if record == nil {
		return nil, errorf(NotFound, "budget %q does not exist", id)
	}
	details := BudgetDetails{Budget: *record, Free: record.Free(), OpenGrants: []budget.GrantRecord{}}
	details.Unreadable, err = scanAll(ctx, s.config.Table, grantPrefix, func(g budget.GrantRecord) {
		if g.Budget == id && g.State == budget.GrantOpen {
			details.OpenGrants = append(details.OpenGrants, g)
			details.OpenUsed += g.Used
		}
	})
	if err != nil {
		return nil, err
	}
	return details, nil
}
