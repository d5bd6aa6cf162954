package admin

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/peppertrail/peppertrail/pkg/budget"
	"github.com/peppertrail/peppertrail/pkg/bundle"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

// budgetsPerRead is the maximum number of budget rows requested in one read.
const budgetsPerRead = 200

// budgetReference is a budget id in a bundle and its position.
type budgetReference struct {
	path     string // position in the bundle, for example customers[0].budget
	customer string // id of the customer that references the budget
	id       string
}

// checkBudgets compares the budgets that a bundle references with the table. A
// missing budget causes a warning, because a budget can only be created for a
// customer of the bundle in force. A budget of another customer is an error.
func (s *Server) checkBudgets(ctx context.Context, b bundle.Bundle) (warnings []string, err error) {
	named := budgetReferences(b)
	var problems []bundle.Problem
	for len(named) > 0 {
		part := named[:min(len(named), budgetsPerRead)]
		named = named[len(part):]
		rows, err := s.config.Table.Get(ctx, budgetKeys(part)...)
		if err != nil {
			return nil, err
		}
		for i, row := range rows {
			warning, problem := compareBudget(part[i], row)
			warnings = append(warnings, warning...)
			problems = append(problems, problem...)
		}
	}
	if len(problems) > 0 {
		return nil, &bundle.CheckError{Problems: problems}
	}
	return warnings, nil
}

func budgetReferences(b bundle.Bundle) []budgetReference {
	var named []budgetReference
	for i, c := range b.Customers {
		path := fmt.Sprintf("customers[%d]", i)
		named = append(named, budgetReference{path: path + ".budget", customer: c.ID, id: c.Budget})
		for j, id := range c.Budgets {
			named = append(named, budgetReference{path: fmt.Sprintf("%s.budgets[%d]", path, j), customer: c.ID, id: id})
		}
	}
	return named
}

func budgetKeys(named []budgetReference) []string {
	keys := make([]string, 0, len(named))
	for _, n := range named {
		keys = append(keys, budget.BudgetKey(n.id))
	}
	return keys
}

func compareBudget(n budgetReference, row storage.Row) (warnings []string, problems []bundle.Problem) {
	if row.Version == 0 {
		return []string{fmt.Sprintf("%s: budget %q does not exist: create it once this bundle is in force", n.path, n.id)}, nil
	}
	var record budget.Record
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return []string{fmt.Sprintf("%s: the row of budget %q cannot be decoded", n.path, n.id)}, nil
	}
	if record.Customer != n.customer {
		return nil, []bundle.Problem{{
			Path:    n.path,
			Value:   fmt.Sprintf("%q", n.id),
			Allowed: fmt.Sprintf("a budget of customer %q; this one belongs to %q", n.customer, record.Customer),
		}}
	}
	return nil, nil
}
