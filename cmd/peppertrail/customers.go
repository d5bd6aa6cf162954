package main

import (
	"context"
	"strconv"
	"strings"

	"github.com/peppertrail/peppertrail/pkg/admin"
)

func (a *app) registerCustomers() {
	group := a.addGroup("customers", "customers of the bundle in force")
	a.addCommand(group, "list", "list customers and their limits", a.listCustomers)
}

func (a *app) listCustomers(ctx context.Context) error {
	client, err := a.settings.client()
	if err != nil {
		return err
	}
	reply, err := client.Customers(ctx)
	if err != nil {
		return err
	}
	return a.printResult(reply, func() {
		var rows [][]string
		for _, c := range reply.Customers {
			rows = append(rows, customerRow(c))
		}
		a.printTable([]string{"CUSTOMER", "KEYS", "BUDGETS", "SERVICES", "MAX PRIORITY", "COVER S", "MIN TOKENS", "MAX SHARE"}, rows)
	})
}

func customerRow(c admin.CustomerSummary) []string {
	return []string{
		c.ID,
		strconv.Itoa(c.Keys),
		strings.Join(append([]string{c.Budget}, c.Budgets...), ","),
		strings.Join(c.Services, ","),
		strconv.Itoa(c.MaxPriority),
		strconv.Itoa(c.CoverSeconds),
		strconv.FormatInt(c.MinTokens, 10),
		strconv.FormatFloat(c.MaxShare, 'g', -1, 64),
	}
}
