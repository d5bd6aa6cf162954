package admin

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/peppertrail/peppertrail/pkg/budget"
	"github.com/peppertrail/peppertrail/pkg/bundle"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

// budgetsPerRead is how many budget rows one read asks for.
const budgetsPerRead = 200

// namedBudget is a budget that a bundle names and where.
type namedBudget struct {
	path     string
	customer string
	id       string
}

// checkBudgets compares the budgets that a bundle names with the table. A
// missing one gives a warning, since a budget can only be created for a
// customer of the bundle in force. One of another customer is an error.
func (s *Server) checkBudgets(ctx context.Context, b bundle.Bundle) (warnings []string, err error) {
	named := namedBudgets(b)
	var problems []bundle.Problem
	for len(named) > 0 {
		part := named[:min(len(named), budgetsPerRead)]
		named = named[len(part):]
		rows, err := s.config.Table.Get(ctx, keysOf(part)...)
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

func namedBudgets(b bundle.Bundle) []namedBudget {
	var named []namedBudget
	for i, c := range b.Customers {
		path := fmt.Sprintf("customers[%d]", i)
		named = append(named, namedBudget{path: path + ".budget", customer: c.ID, id: c.Budget})
		for j, id := range c.Budgets {
			named = append(named, namedBudget{path: fmt.Sprintf("%s.budgets[%d]", path, j), customer: c.ID, id: id})
		}
	}
	return named
}

func keysOf(named []namedBudget) []string {
	keys := make([]string, 0, len(named))
	for _, n := range named {
		keys = append(keys, budget.BudgetKey(n.id))
	}
	return keys
}

func compareBudget(n namedBudget, row storage.Row) (warnings []string, problems []bundle.Problem) {
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
