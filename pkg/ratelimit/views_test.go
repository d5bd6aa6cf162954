package ratelimit

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func addresses(n int) []string {
	var all []string
	for i := range n {
		all = append(all, fmt.Sprintf("10.0.0.%03d:7000", i))
	}
	return all
}

// Guards against a process that issues permits right after its start, when an issuer that others still take for one may go on, and against one that never begins.
func TestHostIssuesOnlyAfterDelay(t *testing.T) {
	now := time.Now()
	var v views
	host := addresses(1)[0]
	assert.Assert(t, !v.issues(host, testTarget, now))
	v.set(addresses(3), now)
	assert.Assert(t, !v.issues(host, testTarget, now.Add(issuerDelay-1)))
	assert.Assert(t, v.issues(host, testTarget, now.Add(issuerDelay)))
	v.set(addresses(3), now.Add(issuerDelay))
	assert.Assert(t, v.issues(host, testTarget, now.Add(issuerDelay)), "the hosts have not changed")
}

// Guards against two hosts that issue the same part of a rate while other hosts join or leave: the old issuer stops at once, the new one begins later.
func TestReplacedIssuerStopsBeforeTheNewOneBegins(t *testing.T) {
	now := time.Now()
	for n := range 200 {
		target := Target{ID: fmt.Sprint("t", n)}
		var v views
		before, after := addresses(9), addresses(10)
		v.set(before, now)
		now := now.Add(time.Minute)
		old, kept := v.issuersOf(target), 0
		v.set(after, now)
		for _, host := range after {
			begins := v.issues(host, target, now.Add(time.Millisecond))
			if begins {
				kept++
			}
			assert.Assert(t, !begins || slices.Contains(old, host), "a new issuer begins at once")
			assert.Equal(t, v.issues(host, target, now.Add(issuerDelay+time.Millisecond)), slices.Contains(v.issuersOf(target), host))
		}
		assert.Assert(t, kept >= maxIssuers-1, "%d of %d issuers go on", kept, maxIssuers)
	}
}

// Guards against views that are kept for as long as the hosts change.
func TestOldViewsAreDropped(t *testing.T) {
	now := time.Now()
	var v views
	for n := range 100 {
		v.set(addresses(3+n%5), now.Add(time.Duration(n)*time.Second))
	}
	assert.Assert(t, len(v) <= 5, "%d views", len(v))
}
