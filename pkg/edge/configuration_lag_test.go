package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a host that does not notice that it is behind, or forgets it when it gets a version that is still too old.
func TestHostIsBehindUntilNewestVersionIsApplied(t *testing.T) {
	var l configurationLag
	start := time.Now()
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	assert.Assert(t, !l.hear("edge-2", 4, 4, at(0)), "the own version")
	assert.Equal(t, l.behind(at(1)), time.Duration(0))
	assert.Assert(t, l.hear("edge-2", 5, 4, at(1)))
	assert.Assert(t, !l.hear("edge-2", 7, 4, at(2)), "it was behind already")
	assert.Assert(t, !l.hear("edge-2", 6, 4, at(2)))
	assert.Equal(t, l.behind(at(3)), 2*time.Second)
	assert.Equal(t, l.applied(5, at(3)), 2*time.Second)
	assert.Equal(t, l.behind(at(4)), 3*time.Second, "version 7 is not applied")
	assert.Equal(t, l.applied(7, at(5)), 4*time.Second)
	assert.Equal(t, l.behind(at(6)), time.Duration(0))
}

// Guards against a malformed message that makes a host take itself for outdated for ever.
func TestVersionThatTheStoreDoesNotHaveIsForgotten(t *testing.T) {
	var l configurationLag
	now := time.Now()
	assert.Assert(t, !l.confirmed())
	l.hear("edge-2", 1<<60, 4, now)
	assert.Assert(t, !l.confirmed(), "the read may have begun before the version was written")
	assert.Assert(t, l.behind(now) > 0)
	assert.Assert(t, l.confirmed())
	assert.Equal(t, l.behind(now), time.Duration(0))
	l.hear("edge-2", 1<<60, 4, now)
	assert.Equal(t, l.namedBy(), "edge-2")
	l.forget() // edge-2 does not have it either
	assert.Equal(t, l.behind(now), time.Duration(0))
}
