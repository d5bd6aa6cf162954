package main

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/peppertrail/peppertrail/pkg/budget"
)

// billPageLines is the number of bill lines requested per call.
const billPageLines = 1000

// bill is the output of the bill command, over all pages.
type bill struct {
	Customer  string        `json:"customer"`
	Lines     []budget.Line `json:"lines"`
	SumTokens int64         `json:"sum_tokens"`
	SumExtra  int64         `json:"sum_extra"` // tokens debited for attempts that gave no answer
}

func (a *app) registerBill() {
	var customer string
	sub := a.addCommand(nil, "bill", "print the bill lines of a customer and their sum", func(ctx context.Context) error { return a.printBill(ctx, customer) })
	sub.AddPositionalValue(&customer, "customer", 1, true, "id of the customer")
}

func (a *app) printBill(ctx context.Context, customer string) error {
	client, err := a.settings.client()
	if err != nil {
		return err
	}
	total := bill{Customer: customer, Lines: []budget.Line{}}
	for after := ""; ; {
		page, err := client.Bill(ctx, customer, after, billPageLines)
		if err != nil {
			return err
		}
		total.Lines = append(total.Lines, page.Lines...)
		total.SumTokens += page.SumTokens
		total.SumExtra += page.SumExtra
		a.warnUnreadable(page.Unreadable)
		if after = page.Next; after == "" {
			break
		}
	}
	return a.printResult(total, func() {
		var rows [][]string
		for _, l := range total.Lines {
			rows = append(rows, billRow(l))
		}
		a.printTable([]string{"REQUEST", "BILLED AT", "BUDGET", "TOKENS", "ATTEMPTS", "EXTRA", "OUTCOME", "TARGET", "ESTIMATED"}, rows)
		fmt.Fprintf(a.stdout, "\n%d lines, %d tokens billed, %d extra tokens debited for attempts without an answer\n",
			len(total.Lines), total.SumTokens, total.SumExtra)
	})
}

func billRow(l budget.Line) []string {
	return []string{
		l.Request,
		formatUnixMilli(l.BilledAt),
		l.Budget,
		formatTokens(l.Tokens),
		strconv.Itoa(l.Attempts),
		formatTokens(l.ExtraTokens),
		formatOutcome(l.Completed),
		l.Target,
		strconv.FormatBool(l.Estimated),
	}
}

func formatOutcome(completed bool) string {
	if completed {
		return "completed"
	}
	return "failed"
}

func formatUnixMilli(milli int64) string {
	return time.UnixMilli(milli).UTC().Format(time.RFC3339)
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
