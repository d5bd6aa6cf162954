package platform

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a burst larger than the writes that the rate allows in one second,
// and against a bucket that is refilled faster or slower than the rate.
func TestWriteLimit(t *testing.T) {
	var l writeLimit
	now := time.Now()
	allowed := 0
	for range 100 {
		if l.allow(10, now) {
			allowed++
		}
	}
	assert.Equal(t, allowed, 10)
	assert.Assert(t, l.allow(10, now.Add(150*time.Millisecond)))
	assert.Assert(t, !l.allow(10, now.Add(150*time.Millisecond)))
}
