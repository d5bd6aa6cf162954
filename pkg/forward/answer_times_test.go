package forward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a long answer that counts for ever, and against one that is forgotten at once.
func TestAnswerTimesAreThoseOfRecentAnswers(t *testing.T) {
	var a answerTimes
	_, known := a.longest("menu")
	assert.Assert(t, !known)
	a.add("menu", 9*time.Second)
	for range answerTimesKept - 1 {
		a.add("menu", time.Second)
		a.add("order", time.Millisecond)
	}
	longest, _ := a.longest("menu")
	assert.Equal(t, longest, 9*time.Second)
	a.add("menu", time.Second)
	longest, _ = a.longest("menu")
	assert.Equal(t, longest, time.Second)
}
