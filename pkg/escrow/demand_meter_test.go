package escrow

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a mean and a variance of the demand that follow the tokens reserved instead of those spent.
func TestDemandOfSettledRequestsFollowsTokensSpent(t *testing.T) {
	var reserving, spending demandMeter
	for now := time.Duration(0); now < 4*longDecay; now += 100 * time.Millisecond {
		reserving.recordSpent(now, 5_000)
		reserving.correctSpent(now, 5_000, 1_000)
		spending.recordSpent(now, 1_000)
	}
	assert.Assert(t, reserving.longTermDemand() > 0.99*spending.longTermDemand() && reserving.longTermDemand() < 1.01*spending.longTermDemand())
	square := spending.longTermDemandSquare()
	assert.Assert(t, reserving.longTermDemandSquare() > 0.95*square && reserving.longTermDemandSquare() < 1.05*square, "%.0f, %.0f if requests reserve what they spend", reserving.longTermDemandSquare(), square)
}
