package forward

import "time"

// eventTimes tells when a target has sent the events of a stream. The zero value is that of a
// stream without events.
type eventTimes struct {
	first time.Time // when the first event was read
	// answering is how long this host has waited for the events after the first one. It leaves
	// out the time in which it waited for the caller, or for a target that sent nothing more.
	answering time.Duration
}

// add adds events that were read at a time by a read that began at readAt. It reports whether
// answering has reached answeringTime with them.
func (t *eventTimes) add(readAt, now time.Time) bool {
	if t.first.IsZero() {
		t.first = now
		return false
	}
	before := t.answering
	t.answering += now.Sub(readAt)
	return before < answeringTime && t.answering >= answeringTime
}
