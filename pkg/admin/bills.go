package admin

import (
	"context"
	"net/http"

	"github.com/peppertrail/peppertrail/pkg/budget"
)

// BillPage is one page of a customer's bill lines in order of request id.
type BillPage struct {
	Customer   string        `json:"customer"`
	Lines      []budget.Line `json:"lines"`
	SumTokens  int64         `json:"sum_tokens"`           // sum of the billed tokens on this page
	SumExtra   int64         `json:"sum_extra"`            // sum of the tokens charged on this page for attempts that gave no answer
	Next       string        `json:"next,omitempty"`       // value of the after parameter for the next page; empty on the last page
	Unreadable []string      `json:"unreadable,omitempty"` // keys of the rows that cannot be decoded
}

func (s *Server) showBill(ctx context.Context, _ string, r *http.Request) (any, error) {
	customer, err := pathID(r, "customer")
	if err != nil {
		return nil, err
	}
	p, err := parsePage(r)
	if err != nil {
		return nil, err
	}
	rows, err := scanRows[budget.Line](ctx, s.config.Table, budget.LinePrefix(customer), p)
	if err != nil {
		return nil, err
	}
	bill := BillPage{Customer: customer, Lines: rows.values, Next: rows.next, Unreadable: rows.unreadable}
	for _, line := range bill.Lines {
		bill.SumTokens += line.Tokens
		bill.SumExtra += line.ExtraTokens
	}
	return bill, nil
}
