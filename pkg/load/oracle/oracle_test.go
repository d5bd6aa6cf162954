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

// Guards against a false refusal that is missed or invented: room counts the
// bound of what runs, the usage of what ended and only the top-ups so far.
func TestCouldReserve(t *testing.T) {
	start := time.Now()
	o := New()
	o.TopUp("b", start, 100)
	o.Ran(stream(start, time.Second, 2*time.Second, 30))
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
		assert.Equal(t, o.HadRoom("b", start.Add(c.at), c.bound), c.want, "%v %d", c.at, c.bound)
	}
}

// Guards against an overspend of one budget that the slack of another hides.
func TestOverspentPerBudget(t *testing.T) {
	start := time.Now()
	o := New()
	o.TopUp("b", start, 20)
	o.TopUp("other", start, 1000)
	o.Ran(stream(start, time.Second, 2*time.Second, 30))
	o.Finish()
	assert.Equal(t, o.Overspent(), int64(10))
}
