package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against policies that are compared with different loads, and against
// duplicate prompts: streams in the journal are matched to requests by prompt.
func TestRequestsAreReproducibleAndUnique(t *testing.T) {
	plan := Plan{Seed: 3, Rate: 500, Duration: 4 * time.Second, Daemons: 9, OnlyCustomer: -1}
	first, second := plan.Requests(), plan.Requests()
	assert.DeepEqual(t, first, second)
	assert.Assert(t, len(first) > 1800 && len(first) < 2200, "%d requests", len(first))
	seen := map[string]bool{}
	for _, r := range first {
		assert.Assert(t, !seen[r.Prompt], r.Prompt)
		seen[r.Prompt] = true
		assert.Assert(t, r.Daemon >= 0 && r.Daemon < 9 && r.Customer < Customers)
	}
}

// Guards against shares that do not add up to 1, which would make budgets too small.
func TestCustomerSharesSumToOne(t *testing.T) {
	sum := 0.0
	for i := range Customers {
		sum += Plan{OnlyCustomer: -1}.Share(i)
	}
	assert.Assert(t, sum > 0.999 && sum < 1.001, sum)
}
