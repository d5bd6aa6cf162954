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
	references := budgetReferences(b)
	var problems []bundle.Problem
	for len(references) > 0 {
		batch := references[:min(len(references), budgetsPerRead)]
		references = references[len(batch):]
		rows, err := s.config.Table.Get(ctx, budgetKeys(batch)...)
		if err != nil {
			return nil, err
		}
		for i, row := range rows {
			warning, problem := compareBudget(batch[i], row)
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
	var references []budgetReference
	for i, c := range b.Customers {
		path := fmt.Sprintf("customers[%d]", i)
		references = append(references, budgetReference{path: path + ".budget", customer: c.ID, id: c.Budget})
		for j, id := range c.Budgets {
			references = append(references, budgetReference{path: fmt.Sprintf("%s.budgets[%d]", path, j), customer: c.ID, id: id})
		}
	}
	return references
}

func budgetKeys(references []budgetReference) []string {
	keys := make([]string, 0, len(references))
	for _, reference := range references {
		keys = append(keys, budget.BudgetKey(reference.id))
	}
	return keys
}

func compareBudget(reference budgetReference, row storage.Row) (warnings []string, problems []bundle.Problem) {
	if row.Version == 0 {
		return []string{fmt.Sprintf("%s: budget %q does not exist: create it once this bundle is in force", reference.path, reference.id)}, nil
	}
	var record budget.Record
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return []string{fmt.Sprintf("%s: the row of budget %q cannot be decoded", reference.path, reference.id)}, nil
	}
	if record.Customer != reference.customer {
		return nil, []bundle.Problem{{
			Path:    reference.path,
			Value:   fmt.Sprintf("%q", reference.id),
			Allowed: fmt.Sprintf("a budget of customer %q; this one belongs to %q", reference.customer, record.Customer),
		}}
	}
	return nil, nil
}
