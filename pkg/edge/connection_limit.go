package edge

import (
	"context"
	"math"
	"net/http"
	"time"

	"github.com/phuslu/log"

	"github.com/peppertrail/peppertrail/pkg/bandwidth"
	"github.com/peppertrail/peppertrail/pkg/ingress"
)

const (
	// linkPollInterval is the time between two looks at the use of the host's link. A body of
	// 50 KB takes 40 ms on a link of 10 Mbit/s.
	linkPollInterval = 25 * time.Millisecond
	// linkLogInterval is the shortest time between two log lines about a busy link.
	linkLogInterval = 5 * time.Second
	// maxSuspendedTime is the time after which a listener is opened for one poll although the
	// link is busy: requests on open connections may keep it busy for long, and a host that is
	// ready has to take some connections, within 3 s.
	maxSuspendedTime = time.Second
)

// suspendable is a listener that can refuse connections for a time.
type suspendable interface {
	Suspend()
	Resume() error
	Suspended() bool
}

// linkGuard refuses new connections of callers while the host's link is busy, so that they connect
// to other hosts. It is not safe for concurrent use.
type linkGuard struct {
	valve    *bandwidth.Valve // nil while the rate of the link is not known
	intake   *bandwidth.Intake
	listener suspendable
	linkMbps float64 // rate of the link that the valve works with; 0: not known
	log      *log.Logger
	closed   func() // counts the times that the listener was suspended

	suspended   bool      // at the last look
	suspendedAt time.Time // first look at which it was suspended
	loggedAt    time.Time // last line about a busy link
	failedAt    time.Time // last line about a listener that could not be opened
}

// update suspends or resumes the listener. The listener may have suspended itself before.
func (g *linkGuard) update(received, sent int64, now time.Time) {
	refuse := g.intake.Full(now)
	if g.valve != nil {
		refuse = g.valve.Observe(received, sent, now) || refuse
	}
	if refuse {
		g.listener.Suspend()
	}
	suspended := g.listener.Suspended()
	if suspended && !g.suspended {
		g.suspendedAt = now
		g.closed()
		if now.Sub(g.loggedAt) >= linkLogInterval {
			g.loggedAt = now
			g.log.Warn().Float64("link_use", g.use()).Float64("link_mbps", g.linkMbps).Msg("Link is busy. New connections of callers are refused until it has room.")
		}
	}
	g.suspended = suspended
	if !suspended || (refuse && now.Sub(g.suspendedAt) < maxSuspendedTime) {
		return
	}
	if err := g.listener.Resume(); err != nil {
		if now.Sub(g.failedAt) >= linkLogInterval {
			g.failedAt = now
			g.log.Warn().Err(err).Msg("Listener for callers could not be opened again. It is tried again.")
		}
		return
	}
	g.suspended = false
}

// use returns the share of the link's rate that is in use, 0 if the rate is not known.
func (g *linkGuard) use() float64 {
	if g.valve == nil {
		return 0
	}
	return g.valve.Use()
}

// saturated reports whether the use is at or above the upper threshold of the valve.
func (g *linkGuard) saturated() bool { return g.valve != nil && g.valve.Saturated() }

// setRate sets the rate of the link, in bytes per second; 0: not known.
func (g *linkGuard) setRate(rate float64) {
	mbps := rate / bandwidth.BytesPerMbit
	switch {
	case rate == 0:
		g.valve = nil
	case g.valve == nil:
		g.valve = bandwidth.NewValve(mbps)
	default:
		g.valve.SetRate(rate)
	}
	if rate > 0 {
		g.intake.SetRate(rate)
	}
	g.linkMbps = mbps
}

// limitConnections refuses new connections of callers while the host's link is busy. A host whose
// link rate is not known takes all until it notices that its link is slow.
func (d *Daemon) limitConnections(ctx context.Context) {
	guard := &linkGuard{valve: bandwidth.NewValve(d.settings.LinkMbps), intake: d.intake, listener: d.callers, linkMbps: d.settings.LinkMbps, log: d.log, closed: d.metrics.closedListeners.Inc}
	link := &linkWatch{slow: bandwidth.NewSlowLink(d.settings.LinkMbps), guard: guard, overload: &d.overload, log: d.log}
	ticker := time.NewTicker(linkPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			received, sent := d.meter.Totals()
			if link.due(now) {
				link.update(append(d.callers.RoundTrips(), d.roundTrips.Take()...), received, sent, now)
			}
			guard.update(received, sent, now)
			d.linkUse.Store(math.Float64bits(guard.use()))
			d.linkRate.Store(math.Float64bits(guard.linkMbps))
			if guard.saturated() {
				d.overload.Record(now)
			}
		}
	}
}

// announceBodies tells the listener for callers the length of each body before the request is
// handled.
func announceBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := ingress.FromContext(r.Context()); c != nil {
			c.Announce(r.ContentLength)
		}
		next.ServeHTTP(w, r)
	})
}

// overloaded reports whether this host has measured within the last seconds that its link is
// saturated.
func (d *Daemon) overloaded() bool { return d.overload.Recent(time.Now()) }
