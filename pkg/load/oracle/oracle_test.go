package oracle

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/standin/engine"
)

func stream(start time.Time, from, to time.Duration, tokens int) Stream {
	began, ended := start.Add(from), start.Add(to)
	return Stream{Budget: "b", Bound: 60, Record: engine.Record{
		PromptTokens: 10, CompletionTokens: tokens - 10, Accepted: began, Started: &began, Ended: &ended,
	}}
}

// Guards against false refusals that are missed or reported wrongly. Free tokens
// are the top-ups so far, less the bounds of running streams and the usage of
// ended streams.
func TestCouldReserve(t *testing.T) {
	start := time.Now()
	o := New()
	o.TopUp("b", start, 100)
	o.AddStream(stream(start, time.Second, 2*time.Second, 30))
	o.TopUp("b", start.Add(4*time.Second), 50)
	o.Finish()
	for _, c := range []struct {
		at    time.Duration
		bound int64
		want  bool
	}{
		{-time.Second, 1, false},
		{500 * time.Millisecond, 100, true},
		{1500 * time.Millisecond, 41, false},
		{1500 * time.Millisecond, 40, true},
		{3 * time.Second, 71, false},
		{3 * time.Second, 70, true},
		{5 * time.Second, 120, true},
		{5 * time.Second, 121, false},
	} {
		assert.Equal(t, o.CouldReserve("b", start.Add(c.at), c.bound), c.want, "CouldReserve %v after the start with a bound of %d tokens", c.at, c.bound)
	}
}

// Guards against an overspent budget that is offset by the free tokens of another
// budget.
func TestOverspentPerBudget(t *testing.T) {
	start := time.Now()
	o := New()
	o.TopUp("b", start, 20)
	o.TopUp("other", start, 1000)
	o.AddStream(stream(start, time.Second, 2*time.Second, 30))
	o.Finish()
	assert.Equal(t, o.Overspent(), int64(10))
}
