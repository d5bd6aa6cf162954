package forward

import (
	"hash/fnv"
	"time"

	"github.com/peppertrail/peppertrail/pkg/balance"
	"github.com/peppertrail/peppertrail/pkg/crashes"
	"github.com/peppertrail/peppertrail/pkg/upstream"
)

const (
	// answeringTime is how long a target has sent events of a stream when the parts of the
	// prompt count as answered even if the stream breaks off. A part that crashes targets
	// does so when they begin to answer.
	answeringTime = time.Second
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

// recordBroken records that the target of an attempt broke off its response. firstEventAt is
// when it sent the first event of a stream, zero if it has sent none.
func (c *call) recordBroken(a *balance.Attempt, firstEventAt, now time.Time) {
	broken := c.crashKeys
	if !firstEventAt.IsZero() && now.Sub(firstEventAt) >= answeringTime {
		c.h.Crashes.Answered(c.partKeys(), now)
		broken = c.requestKey()
	}
	c.h.Crashes.Broken(crashTarget(a), broken, now)
}

// recordAnswered records that the target has sent its response completely. firstEventAt is as
// for recordBroken. A body that ends with its connection may have been broken off, so it
// shows nothing of the parts unless the target has sent events for long enough.
func (c *call) recordAnswered(response *upstream.Response, firstEventAt, now time.Time) {
	answered := c.crashKeys
	if response.Framing == upstream.FramedByClose && (firstEventAt.IsZero() || now.Sub(firstEventAt) < answeringTime) {
		answered = c.requestKey()
	}
	c.h.Crashes.Answered(answered, now)
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
	for _, part := range []string{c.customerName(), c.r.Method, c.r.RequestURI, string(c.body)} {
		_, _ = h.Write([]byte(part)) // never fails
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}
