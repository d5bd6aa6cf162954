package forward

import (
	"time"

	"github.com/peppertrail/peppertrail/pkg/balance"
	"github.com/peppertrail/peppertrail/pkg/crashparts"
	"github.com/peppertrail/peppertrail/pkg/upstream"
)

// answeringTime is how long a target has sent events of a stream when the request counts as
// answered even if the stream breaks off. A part of a prompt that crashes targets does so
// when they begin to answer.
const answeringTime = time.Second

func crashTarget(a *balance.Attempt) crashparts.Target {
	return crashparts.Target{ID: a.Target.ID, Born: a.Target.Born}
}

// recordBroken records that the target of an attempt broke off its response. firstEventAt is
// when it sent the first event of a stream, zero if it has sent none.
func (c *call) recordBroken(a *balance.Attempt, firstEventAt, now time.Time) {
	c.h.CrashTracker.RecordAndAnnounce(c.fingerprint, a.Target.ID, now)
	if !firstEventAt.IsZero() && now.Sub(firstEventAt) >= answeringTime {
		c.h.CrashParts.Answered(c.partKeys, now)
		return
	}
	if len(c.partKeys) > 0 {
		c.h.CrashParts.Broken(crashTarget(a), c.partKeys, now)
	}
}

// recordAnswered records that the target has sent its response completely. firstEventAt is as
// for recordBroken. A body that ends with its connection may have been broken off, so it
// shows nothing unless the target has sent events for long enough.
func (c *call) recordAnswered(response *upstream.Response, firstEventAt, now time.Time) {
	if response.Framing == upstream.FramedByClose && (firstEventAt.IsZero() || now.Sub(firstEventAt) < answeringTime) {
		return
	}
	c.h.CrashParts.Answered(c.partKeys, now)
}

// maxTrackedParts is the number of parts of a prompt whose crashes are recorded. It bounds
// the memory that one request can take.
const maxTrackedParts = 64

// partKeys returns the keys of the parts of the prompt that other requests may share: all
// but the last.
func partKeys(parts []balance.Part) []string {
	var keys []string
	for _, part := range parts[:min(max(0, len(parts)-1), maxTrackedParts)] {
		keys = append(keys, crashparts.Key(part.ID))
	}
	return keys
}
