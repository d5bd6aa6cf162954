package forward

import (
	"sync/atomic"
	"time"

	"github.com/peppertrail/peppertrail/pkg/upstream"
)

// defaultStreamStallTimeout is Options.StreamStallTimeout if none is set. It is longer than
// any pause between the events of a sound stream.
const defaultStreamStallTimeout = 30 * time.Second

// stallTimer ends the reading of a stream that makes no progress. Bytes are no progress: a
// stalled target may send some now and then. The pause of a slow stream is not limited
// otherwise.
type stallTimer struct {
	timeout time.Duration
	timer   *time.Timer
	fired   atomic.Bool
}

// newStallTimer starts a timer that interrupts the reads of a response once timeout has
// passed without progress.
func newStallTimer(timeout time.Duration, response *upstream.Response) *stallTimer {
	t := &stallTimer{timeout: timeout}
	t.timer = time.AfterFunc(timeout, func() {
		t.fired.Store(true)
		response.Interrupt()
	})
	return t
}

// progress restarts the timer.
func (t *stallTimer) progress() {
	if t.timer.Stop() {
		t.timer.Reset(t.timeout)
	}
}

func (t *stallTimer) expired() bool { return t.fired.Load() }
func (t *stallTimer) stop()         { t.timer.Stop() }
