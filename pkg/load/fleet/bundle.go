package fleet

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/peppertrail/peppertrail/pkg/access"
	"github.com/peppertrail/peppertrail/pkg/admin"
	"github.com/peppertrail/peppertrail/pkg/bundle"
	"github.com/peppertrail/peppertrail/pkg/load/baseline"
	"github.com/peppertrail/peppertrail/pkg/load/caller"
	"github.com/peppertrail/peppertrail/pkg/target"
)

const (
	operatorName = "ana"
	serviceName  = "bench-llm"
)

// Grant settings of all customers, equal to those of the customer Régie.
const (
	grantCoverSeconds = 120
	grantMinTokens    = 2000
	grantMaxShare     = 0.5
)

const (
	readyTimeout      = 20 * time.Second
	readyPollInterval = 50 * time.Millisecond
	maxOutputTokens   = 256
)

// BudgetID returns the id of a customer's budget.
func BudgetID(customer int) string { return fmt.Sprintf("budget%d", customer) }

func customerID(customer int) string { return fmt.Sprintf("customer%d", customer) }

func (f *Fleet) generateKeys() error {
	key, err := access.NewOperatorKey()
	if err != nil {
		return err
	}
	f.operator = access.Signer{Operator: operatorName, Key: key}
	for range f.options.Budgets {
		f.apiKeys = append(f.apiKeys, access.NewAPIKey())
	}
	return nil
}

// installBundle submits the bundle. One sign-off is required, so it takes effect
// at once.
func (f *Fleet) installBundle(ctx context.Context) error {
	f.admin = &admin.Client{URL: "http://" + f.daemons[0].adminAddr, Signer: f.operator, HTTP: f.http}
	b := bundle.Normalized(f.bundle())
	signature, err := bundle.Sign(b, operatorName, f.operator.Key)
	if err != nil {
		return err
	}
	reply, err := f.admin.Submit(ctx, bundle.Proposal{Author: operatorName, Bundle: b, Signatures: []bundle.Signature{signature}})
	if err != nil {
		return fmt.Errorf("submit bundle: %w", err)
	}
	if !reply.Progress.InForce {
		return errors.New("the bundle is not in force after its submission")
	}
	return nil
}

func (f *Fleet) bundle() bundle.Bundle {
	b := bundle.Bundle{
		Operators:        []bundle.Operator{{Name: operatorName, PublicKey: access.PublicKeyText(f.operator.Key)}},
		RequiredSignoffs: 1,
		Services:         []bundle.Service{{Name: serviceName, Model: caller.Model, Kind: target.PromText, MaxOutput: maxOutputTokens}},
	}
	for i, key := range f.apiKeys {
		c := bundle.Customer{
			ID: customerID(i), KeyHashes: []string{access.HashAPIKey(key)}, Services: []string{serviceName}, Budget: BudgetID(i),
			MaxPriority: bundle.HighestPriority, CoverSeconds: grantCoverSeconds, MinTokens: grantMinTokens, MaxShare: grantMaxShare,
		}
		if f.options.Policy == baseline.Static {
			// One grant takes all tokens of the daemon's row.
			c.CoverSeconds, c.MinTokens, c.MaxShare = 1, bundle.MaxMinTokens, 1
		}
		b.Customers = append(b.Customers, c)
	}
	return b
}

// createBudgets creates one row per budget, or one row per budget and daemon if
// the policy splits budgets.
func (f *Fleet) createBudgets(ctx context.Context) error {
	for i, tokens := range f.options.Budgets {
		for id, part := range f.budgetRows(i, tokens) {
			if _, err := f.admin.CreateBudget(ctx, admin.CreateBudget{ID: id, Customer: customerID(i), Tokens: part}); err != nil {
				return fmt.Errorf("create budget %s: %w", id, err)
			}
		}
	}
	return nil
}

// TopUp adds tokens to a customer's budget. It divides them over the daemons'
// rows if the policy splits budgets.
func (f *Fleet) TopUp(ctx context.Context, customer int, id string, tokens int64) error {
	for row, part := range f.budgetRows(customer, tokens) {
		if _, err := f.admin.TopUp(ctx, row, admin.TopUp{ID: id, Tokens: part}); err != nil {
			return fmt.Errorf("top up %s: %w", row, err)
		}
	}
	return nil
}

// budgetRows returns the budget rows of a customer and the part of tokens that
// each of them receives.
func (f *Fleet) budgetRows(customer int, tokens int64) map[string]int64 {
	id := BudgetID(customer)
	if f.options.Policy != baseline.Static {
		return map[string]int64{id: tokens}
	}
	n := int64(f.options.Daemons)
	rows := make(map[string]int64, n)
	for i := range f.options.Daemons {
		rows[baseline.ShareID(id, i)] = (tokens + int64(i)) / n // the parts add up to tokens
	}
	return rows
}

func (f *Fleet) awaitHealthy(ctx context.Context) error {
	return f.awaitDaemons(ctx, "answers", func(h *host) bool {
		return call(ctx, f.http, "GET", "http://"+h.adminAddr+"/healthz", nil, nil) == nil
	})
}

// awaitReady waits until every daemon is ready and knows all engines.
func (f *Fleet) awaitReady(ctx context.Context) error {
	return f.awaitDaemons(ctx, "is ready", func(h *host) bool {
		var state struct {
			Ready   bool `json:"ready"`
			Targets int  `json:"targets"`
		}
		err := call(ctx, f.http, "GET", "http://"+h.adminAddr+"/readyz", nil, &state)
		return err == nil && state.Ready && state.Targets == len(f.engines)
	})
}

func (f *Fleet) awaitDaemons(ctx context.Context, state string, reached func(*host) bool) error {
	deadline := time.Now().Add(readyTimeout)
	for i, h := range f.daemons {
		for !reached(h) {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			if !h.process.Running() || time.Now().After(deadline) {
				return fmt.Errorf("daemon %d never %s", i, state)
			}
			time.Sleep(readyPollInterval)
		}
	}
	return nil
}
