package admin

import "github.com/peppertrail/peppertrail/pkg/budget"

// CreateBudget asks for a new budget with a first top-up under InitialTopUp.
type CreateBudget struct {
	ID       string `json:"id"`
	Customer string `json:"customer"`
	Tokens   int64  `json:"tokens"` // 0: no top-up yet
}

// InitialTopUp is the top-up id of the tokens that a budget is created with.
const InitialTopUp = "initial"

// TopUp asks for more tokens. The same id is applied once.
type TopUp struct {
	ID     string `json:"id"`
	Tokens int64  `json:"tokens"`
}

// BudgetReply is a budget row and whether the call changed it.
type BudgetReply struct {
	Budget  budget.Record `json:"budget"`
	Free    int64         `json:"free"`    // tokens that no grant holds and no request spent
	Applied bool          `json:"applied"` // false: an earlier call had the same effect already
}

// BudgetDetails is a budget with its open grants.
type BudgetDetails struct {
	Budget     budget.Record        `json:"budget"`
	Free       int64                `json:"free"`
	OpenGrants []budget.GrantRecord `json:"open_grants"`
	OpenUsed   int64                `json:"open_used"` // billed from open grants, tokens
	Unreadable []string             `json:"unreadable,omitempty"`
}

// BudgetList is one page of budgets in key order.
type BudgetList struct {
	Budgets    []budget.Record `json:"budgets"`
	Next       string          `json:"next,omitempty"` // after of the next page
	Unreadable []string        `json:"unreadable,omitempty"`
}
