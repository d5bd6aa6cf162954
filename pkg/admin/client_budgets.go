package admin

import (
	"context"
	"net/http"
)

// Customers lists the customers of the bundle in force.
func (c *Client) Customers(ctx context.Context) (CustomersReply, error) {
	var reply CustomersReply
	err := c.do(ctx, request{method: http.MethodGet, path: "/customers"}, &reply)
	return reply, err
}

// Bill returns one page of a customer's bill lines whose keys come after the given key.
func (c *Client) Bill(ctx context.Context, customer, after string, limit int) (BillPage, error) {
	var reply BillPage
	path := "/customers" + pathSegment(customer) + "/bill"
	err := c.do(ctx, request{method: http.MethodGet, path: path, query: pageQuery(after, limit)}, &reply)
	return reply, err
}

// CreateBudget creates a budget. A repeated call with the same values changes nothing.
func (c *Client) CreateBudget(ctx context.Context, create CreateBudget) (BudgetReply, error) {
	var reply BudgetReply
	err := c.do(ctx, request{method: http.MethodPost, path: "/budgets", body: create}, &reply)
	return reply, err
}

// TopUp adds tokens to a budget, once per top-up id.
func (c *Client) TopUp(ctx context.Context, id string, t TopUp) (BudgetReply, error) {
	var reply BudgetReply
	path := "/budgets" + pathSegment(id) + "/topups"
	err := c.do(ctx, request{method: http.MethodPost, path: path, body: t}, &reply)
	return reply, err
}

// Budget returns a budget with its open grants.
func (c *Client) Budget(ctx context.Context, id string) (BudgetDetails, error) {
	var reply BudgetDetails
	err := c.do(ctx, request{method: http.MethodGet, path: "/budgets" + pathSegment(id)}, &reply)
	return reply, err
}

// Budgets returns one page of budgets whose keys come after the given key.
func (c *Client) Budgets(ctx context.Context, after string, limit int) (BudgetList, error) {
	var reply BudgetList
	err := c.do(ctx, request{method: http.MethodGet, path: "/budgets", query: pageQuery(after, limit)}, &reply)
	return reply, err
}
