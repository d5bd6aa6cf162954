package target

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against overlapping reads of one target, and against a poll interval
// that ignores the rate limit or the state of the target.
func TestSchedule(t *testing.T) {
	tests := []struct {
		desc    string
		maxRate float64
		state   State
		want    time.Duration // poll interval before jitter
	}{
		{"ready", 0, Ready, time.Second},
		{"gone", 0, Gone, goneIntervalFactor * time.Second},
		{"rate limit not reached", 100, Ready, time.Second},
		{"rate limit lengthens the interval", 0.5, Ready, 2 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			s := newSchedule(time.Second, test.maxRate)
			view := []Status{{Target: Target{ID: "a"}, State: test.state}}
			assert.Equal(t, len(s.startDue(view, testTime)), 1)
			late := testTime.Add(10 * test.want)
			assert.Equal(t, len(s.startDue(view, late)), 0, "the first read has not ended")
			s.readEnded("a")
			assert.Equal(t, len(s.startDue(view, testTime.Add(test.want*8/10))), 0)
			assert.Equal(t, len(s.startDue(view, testTime.Add(test.want*12/10))), 1)
			assert.Equal(t, len(s.startDue(nil, late)), 0)
			assert.Equal(t, len(s.polls), 0, "the target left the view")
		})
	}
}
