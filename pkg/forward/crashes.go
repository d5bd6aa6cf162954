package forward

import (
	"hash/fnv"
	"net/http"
	"time"

	"github.com/peppertrail/peppertrail/pkg/balance"
	"github.com/peppertrail/peppertrail/pkg/crashes"
	"github.com/peppertrail/peppertrail/pkg/upstream"
)

const (
	// answeringTime is the eventTimes.answering from which the parts of the prompt count as
	// answered even if the stream breaks off. A part that crashes targets does so when they
	// begin to answer. Sound parts that break off with it are told apart the sooner, the shorter
	// it is.
	answeringTime = 500 * time.Millisecond
	// retryAfterCrashes is the Retry-After of a request that is refused because it, or a part
	// of its prompt, crashes targets.
	retryAfterCrashes = 30 * time.Second
)

func crashTarget(a *balance.Attempt) crashes.Target {
	return crashes.Target{ID: a.Target.ID, Born: a.Target.Born}
}

// setCrashKeys sets the keys under which crashes of targets by the request are recorded.
func (c *call) setCrashKeys() {
	c.crashKeys = append(partKeys(c.parts), crashes.RequestKey(c.requestFingerprint()))
}

// partKeys returns the keys of the parts of the prompt that other requests may share.
func (c *call) partKeys() []string { return c.crashKeys[:max(0, len(c.crashKeys)-1)] }

// requestKey returns the key of the request itself.
func (c *call) requestKey() []string { return c.crashKeys[max(0, len(c.crashKeys)-1):] }

// recordBroken records that the target of an attempt broke off its response.
func (c *call) recordBroken(a *balance.Attempt, times eventTimes, now time.Time) {
	broken := c.crashKeys
	if times.answering >= answeringTime {
		c.h.Crashes.Answered(c.partKeys(), times.first, now)
		broken = c.requestKey()
	}
	c.h.Crashes.Broken(crashTarget(a), broken, now)
}

// recordAnswered records that the target has sent its response completely. An error shows nothing
// of the parts: the target may have had no time left for the request, or have failed otherwise
// before it began to answer. Neither does a body that ends with its connection, which may have
// been broken off, unless the target has sent events for long enough.
func (c *call) recordAnswered(response *upstream.Response, times eventTimes, now time.Time) {
	begunAt := c.lastAttemptAt // a response without events does not tell when it began
	if !times.first.IsZero() {
		begunAt = times.first
	}
	switch {
	case response.Status >= http.StatusInternalServerError || statusMeansNotRun(response.Status):
		return
	case response.Status >= http.StatusBadRequest, response.Framing == upstream.FramedByClose && times.answering < answeringTime:
		c.h.Crashes.Answered(c.requestKey(), begunAt, now)
	default:
		c.h.Crashes.Answered(c.crashKeys, begunAt, now)
	}
}

// recordAnswering records that the target has sent events for long enough to show that the parts
// of the prompt do not crash it. Long streams would tell it late otherwise.
func (c *call) recordAnswering(times eventTimes, now time.Time) {
	c.h.Crashes.Answered(c.partKeys(), times.first, now)
}

// maxTrackedParts is the number of parts of a prompt whose crashes are recorded. It bounds
// the memory that one request can take.
const maxTrackedParts = 64

// partKeys returns the keys of the parts of the prompt that other requests may share: all
// but the last.
func partKeys(parts []balance.Part) []string {
	var keys []string
	for _, part := range parts[:min(max(0, len(parts)-1), maxTrackedParts)] {
		keys = append(keys, crashes.PartKey(part.ID))
	}
	return keys
}

// requestFingerprint hashes the customer, method, URI and body of the request, but not its id:
// it may be repeated under other ids and at other hosts.
func (c *call) requestFingerprint() uint64 {
	h := fnv.New64a()
	// The body is not copied, as copies of many large bodies are not accounted for.
	for _, part := range [][]byte{[]byte(c.customerName()), []byte(c.r.Method), []byte(c.r.RequestURI), c.body} {
		_, _ = h.Write(part) // never fails
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}
