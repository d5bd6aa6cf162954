package edge

import (
	"time"

	"github.com/phuslu/log"

	"github.com/peppertrail/peppertrail/pkg/bandwidth"
)

// linkWatch passes the rate that the host's link has on to the guard, and records that the host is
// overloaded while bytes queue for it. It is not safe for concurrent use.
type linkWatch struct {
	slow     *bandwidth.SlowLink
	guard    *linkGuard
	overload *bandwidth.Overload
	log      *log.Logger

	polledAt time.Time
	loggedAt time.Time
}

// due reports whether the next poll is due.
func (w *linkWatch) due(now time.Time) bool { return now.Sub(w.polledAt) >= bandwidth.SlowLinkPoll }

// update takes the round-trip times since the last poll.
func (w *linkWatch) update(samples []bandwidth.RoundTrip, received, sent int64, now time.Time) {
	w.polledAt = now
	rate, slow := w.slow.Observe(samples, received, sent, now)
	w.guard.setRate(rate)
	if !slow {
		return
	}
	w.overload.Record(now)
	if now.Sub(w.loggedAt) >= linkLogInterval {
		w.loggedAt = now
		w.log.Warn().Float64("link_mbps", w.guard.linkMbps).Msg("Link is slow: round-trip times have grown at half of the peers. The rate is what it has moved meanwhile.")
	}
}
