package slopes

import (
	"context"
	"crypto/ed25519"
	"encoding/json"
	"fmt"

	"github.com/peppertrail/peppertrail/pkg/access"
	"github.com/peppertrail/peppertrail/pkg/budget"
	"github.com/peppertrail/peppertrail/pkg/bundle"
	"github.com/peppertrail/peppertrail/pkg/storage"
	"github.com/peppertrail/peppertrail/pkg/target"
)

const (
	operatorName = "ana"
	customerID   = "regie"
	mainBudget   = "budget-0"
	// budgetTokens is large enough that no run exhausts a budget.
	budgetTokens = int64(1_000_000_000)
	putsPerTxn   = 500
)

// operator submits bundles and creates budgets.
type operator struct {
	key    ed25519.PrivateKey
	apiKey string
	store  *bundle.Store
	table  storage.Table
}

func newOperator(table storage.Table) (*operator, error) {
	key, err := access.NewOperatorKey()
	if err != nil {
		return nil, err
	}
	o := &operator{key: key, apiKey: access.NewAPIKey(), table: table}
	o.store = bundle.NewStore(table, []bundle.Operator{o.bundleOperator()})
	return o, nil
}

func (o *operator) bundleOperator() bundle.Operator {
	return bundle.NewOperator(operatorName, o.key.Public().(ed25519.PublicKey))
}

// bootstrapSetting returns the operator as a value of --bootstrap-operator.
func (o *operator) bootstrapSetting() string { return operatorName + "=" + access.PublicKeyText(o.key) }

// activateBundle submits and signs a bundle with a number of budgets and customers
// and returns its version.
func (o *operator) activateBundle(ctx context.Context, base uint64, budgets, customers int) (uint64, error) {
	b := o.bundle(base, budgets, customers)
	signature, err := bundle.Sign(b, operatorName, o.key)
	if err != nil {
		return 0, fmt.Errorf("sign bundle: %w", err)
	}
	proposal := bundle.Proposal{Author: operatorName, Bundle: b, Signatures: []bundle.Signature{signature}}
	if _, err := o.store.Submit(ctx, proposal); err != nil {
		return 0, fmt.Errorf("submit bundle: %w", err)
	}
	return base + 1, nil
}

// bundle returns a bundle with one customer that owns the budgets and further
// customers that send no requests.
func (o *operator) bundle(base uint64, budgets, customers int) bundle.Bundle {
	b := bundle.Bundle{
		Base:             base,
		Operators:        []bundle.Operator{o.bundleOperator()},
		RequiredSignoffs: 1,
		Services:         []bundle.Service{{Name: targetService, Model: targetModel, Kind: target.JSONStatus, MaxOutput: 4096, SlowStart: 1}},
	}
	for i := range max(1, customers) {
		b.Customers = append(b.Customers, o.customer(i))
	}
	for i := 1; i < budgets; i++ {
		b.Customers[0].Budgets = append(b.Customers[0].Budgets, budgetName(i))
	}
	// The signature covers the defaults that the store fills in.
	return bundle.Normalized(b)
}

func (o *operator) customer(i int) bundle.Customer {
	c := bundle.Customer{
		ID: customerID, KeyHashes: []string{access.HashAPIKey(o.apiKey)}, Services: []string{targetService},
		Budget: mainBudget, MaxPriority: 9, CoverSeconds: 60, MinTokens: 100_000, MaxShare: 0.25,
	}
	if i > 0 {
		c.ID = fmt.Sprintf("%s-%d", customerID, i)
		c.KeyHashes = []string{access.HashAPIKey(c.ID)}
		c.Budget = "main-" + c.ID
	}
	return c
}

func budgetName(i int) string { return fmt.Sprintf("budget-%d", i) }

// createBudgets writes the rows of the budgets first to last-1.
func (o *operator) createBudgets(ctx context.Context, first, last int) error {
	for first < last {
		n := min(putsPerTxn, last-first)
		txn := storage.Txn{ID: fmt.Sprintf("slopes-budgets-%d", first)}
		for i := first; i < first+n; i++ {
			record := budget.Record{ID: budgetName(i), Customer: customerID, Limit: budgetTokens, TopUps: map[string]int64{"initial": budgetTokens}}
			value, err := json.Marshal(record)
			if err != nil {
				return err
			}
			txn.Puts = append(txn.Puts, storage.Put{Key: budget.BudgetKey(record.ID), Value: value})
		}
		if _, err := o.table.Commit(ctx, txn); err != nil {
			return fmt.Errorf("create budgets: %w", err)
		}
		first += n
	}
	return nil
}
