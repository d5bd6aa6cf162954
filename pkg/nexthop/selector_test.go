package nexthop

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const testService = "chef"

func newTestSelector(hosts int) *Selector {
	s := NewSelector()
	var all []Host
	for i := range hosts {
		all = append(all, Host{Name: fmt.Sprint("h", i), Addr: fmt.Sprintf("10.0.0.%d:1", i+1)})
	}
	s.SetHosts(all)
	return s
}

// Guards against requests that are forwarded to a host without a path to the service, and against a host that is not used again when its path is back.
func TestHostWithoutPathIsNotPicked(t *testing.T) {
	now := time.Now()
	s := newTestSelector(2)
	s.RecordLostPath("h0", testService, now)
	s.RecordLostPath("unknown", testService, now)
	for range 20 {
		assert.Equal(t, s.Pick(testService, nil, now).Host.Name, "h1")
	}
	s.Pick(testService, nil, now).End(NoPath, now)
	assert.Assert(t, s.Pick(testService, nil, now) == nil)
	assert.Assert(t, !s.Available(testService, now))
	assert.Assert(t, s.Available("other", now))
	assert.Assert(t, s.Available(testService, now.Add(lostPathTTL)))
}

// Guards against a host that is asked again and again while it is down, full or stopping, and against forgetting that because the list of hosts was read again.
func TestHostThatCannotServeIsLeftAlone(t *testing.T) {
	now := time.Now()
	for outcome, backoff := range map[Outcome]time.Duration{
		Unreached: unreachedBackoff, Full: fullBackoff, Outdated: outdatedBackoff, ShuttingDown: shuttingDownBackoff,
	} {
		s := newTestSelector(1)
		s.Pick(testService, nil, now).End(outcome, now)
		s.SetHosts([]Host{{Name: "h0", Addr: "10.0.0.1:1"}})
		assert.Check(t, !s.Available("other", now.Add(backoff-1)), "outcome %d", outcome)
		assert.Check(t, s.Available("other", now.Add(backoff)), "outcome %d", outcome)
	}
	s := newTestSelector(1)
	s.Pick(testService, nil, now).End(Answered, now)
	assert.Assert(t, s.Available(testService, now))
	assert.Assert(t, s.Pick(testService, []string{"h0"}, now) == nil, "it was tried")
}

// Guards against one host that gets most of the requests of a host without a path.
func TestRequestsAreSpreadOverHosts(t *testing.T) {
	now := time.Now()
	s := newTestSelector(5)
	open := make(map[string]int)
	for range 500 {
		open[s.Pick(testService, nil, now).Host.Name]++
	}
	for host, n := range open {
		assert.Check(t, n > 70 && n < 130, "%s has %d of 500", host, n)
	}
}

// Guards against open requests that are counted wrongly, whatever the order in which hosts come, go and answer.
func TestOpenRequestsAreCounted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		s := newTestSelector(4)
		var hops []*Hop
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				hop := s.Pick(testService, nil, now)
				if hop == nil {
					continue
				}
				assert.Assert(t, !now.Before(hop.state.lostUntil[testService]) && !now.Before(hop.state.backoffUntil))
				hops = append(hops, hop)
			case 2:
				if len(hops) > 0 {
					hop := hops[rapid.IntRange(0, len(hops)-1).Draw(t, "hop")]
					outcome := Outcome(rapid.IntRange(int(Answered), int(ShuttingDown)).Draw(t, "outcome"))
					hop.End(outcome, now)
					hop.End(Answered, now) // only the first counts
				}
			case 3:
				s.RecordLostPath(fmt.Sprint("h", rapid.IntRange(0, 4).Draw(t, "host")), testService, now)
			}
			open := make(map[string]int)
			for _, hop := range hops {
				if !hop.ended {
					open[hop.Host.Name]++
				}
			}
			for name, state := range s.hosts {
				assert.Assert(t, state.inFlight == open[name], "%s has %d open requests, %d are counted", name, open[name], state.inFlight)
			}
		}
	})
}

// Guards against a host that takes more requests of others than it can serve beside its own.
func TestAdmissionIsBounded(t *testing.T) {
	a := NewAdmission(2)
	for range 2 {
		assert.Assert(t, a.Enter())
	}
	assert.Assert(t, !a.Enter())
	assert.Equal(t, a.Open(), 2)
	a.Leave()
	assert.Assert(t, a.Enter())
	assert.Equal(t, Limit(0.4, 1000), 180)
	assert.Equal(t, Limit(0.8, 10), 40)
	assert.Equal(t, Limit(0.01, 0), minRequests)
	assert.Equal(t, Limit(0, 0), defaultRequests)
}
