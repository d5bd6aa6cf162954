package escrow

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func drawPosition(t *rapid.T) budgetView {
	p := budgetView{
		prepaid:        rapid.Int64Range(0, 10_000_000).Draw(t, "prepaid"),
		recentDemand:   rapid.Float64Range(0, 500_000).Draw(t, "demand"),
		longTermDemand: rapid.Float64Range(0, 500_000).Draw(t, "usual"),
		peakRequest:    rapid.Int64Range(0, 70_000).Draw(t, "peak"),
		largestWaiting: rapid.Int64Range(0, 70_000).Draw(t, "need"),
		hosts:          rapid.IntRange(0, 90).Draw(t, "hosts"),
	}
	p.settled = rapid.Int64Range(0, p.prepaid).Draw(t, "settled")
	p.amount = rapid.Int64Range(0, p.prepaid-p.settled).Draw(t, "amount")
	p.used = rapid.Int64Range(0, p.amount).Draw(t, "used")
	p.others.Amount = rapid.Int64Range(0, p.prepaid-p.settled-p.amount).Draw(t, "others")
	p.others.Spent = rapid.Int64Range(0, p.others.Amount).Draw(t, "others spent")
	p.others.LongTermDemand = rapid.Float64Range(0, 500_000).Draw(t, "others usual")
	p.others.Shortage = rapid.Bool().Draw(t, "lack")
	return p
}

// Guards against a plan that takes more than is free, or gives back what is spent.
func TestNextAmountStaysWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawPosition(t)
		next := p.nextAmount()
		assert.Assert(t, next >= p.used)
		assert.Assert(t, p.settled+p.others.Amount+next <= p.prepaid)
	})
}

// Guards against a budget whose total was lowered below what is held.
func TestNextAmountOfLoweredBudget(t *testing.T) {
	p := budgetView{prepaid: 100, amount: 400, used: 150, hosts: 1}
	assert.Assert(t, p.nextAmount() <= 400)
	assert.Assert(t, p.nextAmount() >= 150)
}

// Guards against a host that keeps its whole share while another one lacks tokens.
func TestShareShrinksForOthers(t *testing.T) {
	p := budgetView{prepaid: 1_000_000, amount: 500_000, used: 100_000, recentDemand: 20_000, longTermDemand: 20_000, hosts: 2}
	p.others.Amount, p.others.LongTermDemand = 500_000, 20_000
	p.others.Spent = 499_000
	before := p.nextAmount()
	p.others.Shortage = true
	assert.Assert(t, p.nextAmount() < before)
	assert.Assert(t, p.nextAmount() >= p.used+int64(p.recentDemand*shortageCoverTime.Seconds()))
}

// Guards against a first host that takes the whole budget because all the
// demand so far is its own.
func TestFirstHostLeavesRoom(t *testing.T) {
	p := budgetView{prepaid: 1_000_000, recentDemand: 10_000, longTermDemand: 10_000, hosts: 9}
	assert.Assert(t, p.nextAmount() <= 250_000)
}

// Guards against ceilings that lose a good part of a budget when all processes
// are killed: 3 in 100 for nine hosts with the demand of 44 s of the budget.
func TestCeilingsLoseLittle(t *testing.T) {
	const hosts, prepaid = 9, 4_400_000
	lost := int64(0)
	for range hosts {
		p := budgetView{prepaid: prepaid, amount: 400_000, used: 100_000, recentDemand: 100_000 / hosts, longTermDemand: 100_000 / hosts, meanRequest: 1_500, hosts: hosts}
		p.others.LongTermDemand = 100_000 - p.longTermDemand // every host knows the demand at the others
		lost += p.usage(0).Ceiling - p.used
	}
	assert.Assert(t, lost <= 3*prepaid/100, "%d", lost)
}
