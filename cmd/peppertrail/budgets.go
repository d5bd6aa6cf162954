package main

import (
	"context"
	"fmt"
	"strconv"

	"github.com/peppertrail/peppertrail/pkg/admin"
	"github.com/peppertrail/peppertrail/pkg/budget"
	"github.com/peppertrail/peppertrail/pkg/bundle"
)

// maxTokensPerCommand is the largest number of tokens that one command accepts.
// The daemon applies the same limit.
const maxTokensPerCommand = 1_000_000_000_000_000

// budgetFlags holds the arguments and flags of the budgets commands.
type budgetFlags struct {
	budget   string
	customer string
	topUpID  string
	tokens   string
}

func (a *app) registerBudgets() {
	group := a.addGroup("budgets", "prepaid token budgets")

	create := budgetFlags{tokens: "0"}
	sub := a.addCommand(group, "create", "create a budget; safe to repeat", func(ctx context.Context) error { return a.createBudget(ctx, create) })
	sub.AddPositionalValue(&create.budget, "budget", 1, true, "id of the new budget")
	sub.String(&create.customer, "", "customer", "customer of the bundle in force that owns it")
	sub.String(&create.tokens, "", "tokens", "tokens to start with")

	var topUp budgetFlags
	sub = a.addCommand(group, "topup", "add tokens to a budget; safe to repeat with the same id", func(ctx context.Context) error { return a.topUpBudget(ctx, topUp) })
	sub.AddPositionalValue(&topUp.budget, "budget", 1, true, "id of the budget")
	sub.String(&topUp.topUpID, "", "id", "id of the top-up, for example the number of the order")
	sub.String(&topUp.tokens, "", "tokens", "tokens to add")

	var show budgetFlags
	sub = a.addCommand(group, "show", "show a budget, its top-ups and open grants", func(ctx context.Context) error { return a.showBudget(ctx, show.budget) })
	sub.AddPositionalValue(&show.budget, "budget", 1, true, "id of the budget")

	a.addCommand(group, "list", "list all budgets", a.listBudgets)
}

func (a *app) createBudget(ctx context.Context, f budgetFlags) error {
	if err := requireFlag("--customer", f.customer, "a customer of the bundle in force"); err != nil {
		return err
	}
	tokens, err := parseInteger("--tokens", f.tokens, 0, maxTokensPerCommand)
	if err != nil {
		return err
	}
	client, err := a.settings.client()
	if err != nil {
		return err
	}
	reply, err := client.CreateBudget(ctx, admin.CreateBudget{ID: f.budget, Customer: f.customer, Tokens: tokens})
	if err != nil {
		return err
	}
	return a.showBudgetReply(reply, "created")
}

func (a *app) topUpBudget(ctx context.Context, f budgetFlags) error {
	if !bundle.ValidID(f.topUpID) {
		return newUsageError("--id", f.topUpID, "1 to 64 characters out of a-z A-Z 0-9 . _ -, the same when the command is repeated")
	}
	tokens, err := parseInteger("--tokens", f.tokens, 1, maxTokensPerCommand)
	if err != nil {
		return err
	}
	client, err := a.settings.client()
	if err != nil {
		return err
	}
	reply, err := client.TopUp(ctx, f.budget, admin.TopUp{ID: f.topUpID, Tokens: tokens})
	if err != nil {
		return err
	}
	return a.showBudgetReply(reply, "topped up")
}

func (a *app) showBudgetReply(reply admin.BudgetReply, outcome string) error {
	return a.printResult(reply, func() {
		if !reply.Applied {
			outcome = "was " + outcome + " before, nothing changed"
		}
		fmt.Fprintf(a.stdout, "budget %s %s: limit %d, free %d tokens\n", reply.Budget.ID, outcome, reply.Budget.Limit, reply.Free)
	})
}

func (a *app) showBudget(ctx context.Context, id string) error {
	client, err := a.settings.client()
	if err != nil {
		return err
	}
	details, err := client.Budget(ctx, id)
	if err != nil {
		return err
	}
	a.warnUnreadable(details.Unreadable)
	return a.printResult(details, func() {
		a.printBudgets([]budget.Record{details.Budget})
		fmt.Fprintln(a.stdout)
		a.printTopUps(details.Budget.TopUps)
		fmt.Fprintln(a.stdout)
		a.printGrants(details.OpenGrants)
	})
}

func (a *app) listBudgets(ctx context.Context) error {
	client, err := a.settings.client()
	if err != nil {
		return err
	}
	budgets := []budget.Record{}
	for after := ""; ; {
		list, err := client.Budgets(ctx, after, 0)
		if err != nil {
			return err
		}
		budgets = append(budgets, list.Budgets...)
		a.warnUnreadable(list.Unreadable)
		if after = list.Next; after == "" {
			break
		}
	}
	return a.printResult(budgets, func() { a.printBudgets(budgets) })
}

func (a *app) printBudgets(budgets []budget.Record) {
	var rows [][]string
	for _, b := range budgets {
		rows = append(rows, []string{b.ID, b.Customer, formatTokens(b.Limit), formatTokens(b.Settled), formatTokens(b.Granted), formatTokens(b.Free())})
	}
	a.printTable([]string{"BUDGET", "CUSTOMER", "LIMIT", "SETTLED", "GRANTED", "FREE"}, rows)
}

func (a *app) printTopUps(topUps map[string]int64) {
	var rows [][]string
	for _, id := range sortedKeys(topUps) {
		rows = append(rows, []string{id, formatTokens(topUps[id])})
	}
	a.printTable([]string{"TOP-UP", "TOKENS"}, rows)
}

func (a *app) printGrants(grants []budget.GrantRecord) {
	var rows [][]string
	for _, g := range grants {
		rows = append(rows, []string{g.ID, g.Holder, formatTokens(g.Amount), formatTokens(g.Used)})
	}
	a.printTable([]string{"OPEN GRANT", "HOLDER", "AMOUNT", "USED"}, rows)
}

func formatTokens(n int64) string { return strconv.FormatInt(n, 10) }
