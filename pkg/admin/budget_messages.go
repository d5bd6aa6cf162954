package admin

import "github.com/peppertrail/peppertrail/pkg/budget"

// CreateBudget is the request to create a budget with a first top-up whose id is
// InitialTopUp.
type CreateBudget struct {
	ID       string `json:"id"`
	Customer string `json:"customer"`
	Tokens   int64  `json:"tokens"` // size of the first top-up; 0: none
}

// InitialTopUp is the top-up id of the tokens that a budget is created with.
const InitialTopUp = "initial"

// TopUp is the request to add tokens to a budget. Each id is applied at most once.
type TopUp struct {
	ID     string `json:"id"`
	Tokens int64  `json:"tokens"`
}

// BudgetReply contains a budget row and whether the call changed it.
type BudgetReply struct {
	Budget  budget.Record `json:"budget"`
	Free    int64         `json:"free"`    // tokens that are neither held by a grant nor spent
	Applied bool          `json:"applied"` // false: an earlier call already had the same effect
}

// BudgetDetails is a budget with its open grants.
type BudgetDetails struct {
	Budget     budget.Record        `json:"budget"`
	Free       int64                `json:"free"`
	OpenGrants []budget.GrantRecord `json:"open_grants"`
	OpenUsed   int64                `json:"open_used"`            // tokens billed from the open grants
	Unreadable []string             `json:"unreadable,omitempty"` // keys of the rows that cannot be decoded
}

// BudgetList is one page of budgets in key order.
type BudgetList struct {
	Budgets    []budget.Record `json:"budgets"`
	Next       string          `json:"next,omitempty"`       // value of the after parameter for the next page; empty on the last page
	Unreadable []string        `json:"unreadable,omitempty"` // keys of the rows that cannot be decoded
}
