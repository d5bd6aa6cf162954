package bandwidth

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// slowGrowth is the growth of the round-trip time at half of the peers from which the link
	// counts as slow. A link of 10 Mbit/s has 62 KB queued then, more than a body; the valve keeps
	// a link of the rate in the settings below that.
	slowGrowth = 50 * time.Millisecond
	// minSlowPeers is the least number of peers with present samples. Fewer may share another
	// cause, such as their own links.
	minSlowPeers = 3
	// minPeerAge is the time for which a peer must be known before it counts. The least time of a
	// new caller, who has come while bytes queue, contains the queue.
	minPeerAge = 5 * time.Second
	// slowPolls is the number of consecutive polls, at SlowLinkPoll, in which the link has to be
	// slow: a burst of bodies ends within that time.
	slowPolls = 3
	// SlowLinkPoll is the time between two calls of SlowLink.Observe.
	SlowLinkPoll = 250 * time.Millisecond
	// relievedShare is the share of the estimate below which a queue drains, and
	// maxUnrelievedPolls the number of polls in which it has to: half of the rate drains 0.5 s of
	// the link in that time.
	relievedShare      = 0.5
	maxUnrelievedPolls = 4
	// estimateGrowth is the growth per second of the estimated rate while the link is not slow.
	estimateGrowth = 0.1
	// minEstimate is the least estimate, as a share of the rate in the settings, and
	// minEstimateBytes the least one without a setting, in bytes per second.
	minEstimate      = 0.1
	minEstimateBytes = 0.1 * BytesPerMbit
	// estimateTTL is how long an estimate is kept without a setting after the link was slow.
	estimateTTL = time.Minute
	// leastTimeWindow is the time for which the least round-trip time of a peer is kept, at least;
	// at most it is twice that. A change of route must not be taken for a queue for ever.
	leastTimeWindow = 30 * time.Second
	// maxSlowLinkPeers bounds the peers whose least times are kept.
	maxSlowLinkPeers = 256
)

// leastTime is the least round-trip time of a peer in this window and the one before.
type leastTime struct {
	current, previous time.Duration // 0: no sample
	since             time.Time     // start of the current window
	firstAt           time.Time     // first sample
	seenAt            time.Time
}

// add adds a sample and returns its growth above the least one.
func (l *leastTime) add(rtt time.Duration, now time.Time) time.Duration {
	if now.Sub(l.since) >= leastTimeWindow {
		l.previous, l.current, l.since = l.current, 0, now
	}
	if l.current == 0 || rtt < l.current {
		l.current = rtt
	}
	l.seenAt = now
	least := l.current
	if l.previous > 0 {
		least = min(least, l.previous)
	}
	return rtt - least
}

// SlowLink notices that a link is slower than its setting, and estimates the rate that it has.
//
// Load: loss, another tenant or reduced bandwidth. Bytes that queue for the link, in either
// direction, delay the acknowledgements of all peers by about the same time. The kernel of a peer
// acknowledges also while its process is slow, so that a slow store or a slow other host shows
// nothing; a partition yields no samples. It is not safe for concurrent use.
type SlowLink struct {
	setting float64 // bytes per second; 0: unknown
	peers   map[netip.Addr]*leastTime

	estimate       float64 // bytes per second; 0: the setting applies
	slowSince      int     // consecutive polls in which the link was slow
	slowAt         time.Time
	unrelieved     int                // consecutive polls in which the link was slow although much less was moved than it carries
	moved          [slowPolls]float64 // bytes per second in the last polls, in the busier direction
	received, sent int64              // totals at the last poll
	at             time.Time          // last poll; zero: none
}

// NewSlowLink returns the state of a link of linkMbps Mbit/s in each direction; 0: unknown.
func NewSlowLink(linkMbps float64) *SlowLink {
	return &SlowLink{setting: linkMbps * BytesPerMbit, peers: make(map[netip.Addr]*leastTime)}
}

// Observe takes the present round-trip times, and the bytes received and sent in total until now.
// It returns the rate that the link has in bytes per second, 0 if it is not known, and whether
// bytes queue for it.
func (s *SlowLink) Observe(samples []RoundTrip, received, sent int64, now time.Time) (rate float64, slow bool) {
	elapsed := now.Sub(s.at)
	if !s.at.IsZero() && elapsed > 0 {
		copy(s.moved[1:], s.moved[:])
		s.moved[0] = float64(max(received-s.received, sent-s.sent)) / elapsed.Seconds()
	}
	growth, known := s.growth(samples, now)
	s.received, s.sent, s.at = received, sent, now
	if known && growth >= slowGrowth {
		s.slowSince++
	} else {
		s.slowSince = 0
	}
	if slow = s.slowSince >= slowPolls; slow {
		s.slowAt = now
		return s.lower(slices.Max(s.moved[:]))
	}
	s.unrelieved = 0
	if s.estimate > 0 && !(known && growth >= slowGrowth/2) {
		s.raise(elapsed, now)
	}
	return s.rate(), false
}

// rate returns the estimate, or the setting.
func (s *SlowLink) rate() float64 {
	if s.estimate > 0 {
		return s.estimate
	}
	return s.setting
}

// lower lowers the estimate to what the link has moved while it was slow, the most in one of the
// polls: bytes queued, so that it carried no more. If the times stay long although much less is
// moved, the cause is no queue of this host, which could not shorten it: the estimate is dropped
// and the times are taken as the new least ones.
func (s *SlowLink) lower(moved float64) (rate float64, slow bool) {
	if s.estimate > 0 && moved < relievedShare*s.estimate {
		if s.unrelieved++; s.unrelieved >= maxUnrelievedPolls {
			clear(s.peers)
			s.estimate, s.slowSince, s.unrelieved = 0, 0, 0
			return s.rate(), false
		}
		return s.rate(), true
	}
	s.unrelieved = 0
	if known := s.rate(); known > 0 {
		moved = min(moved, known)
	}
	s.estimate = max(moved, minEstimate*s.setting, minEstimateBytes)
	return s.rate(), true
}

// raise raises the estimate while the link is not slow.
func (s *SlowLink) raise(elapsed time.Duration, now time.Time) {
	s.estimate *= 1 + estimateGrowth*elapsed.Seconds()
	if s.setting > 0 && s.estimate >= s.setting || s.setting == 0 && now.Sub(s.slowAt) > estimateTTL {
		s.estimate = 0
	}
}

// growth returns the median growth of the round-trip times of the peers, false if too few have
// samples.
func (s *SlowLink) growth(samples []RoundTrip, now time.Time) (time.Duration, bool) {
	least := make(map[netip.Addr]time.Duration) // of the peer's samples: each may also wait behind its own data
	for _, sample := range samples {
		if known, ok := least[sample.Peer]; !ok || sample.Time < known {
			least[sample.Peer] = sample.Time
		}
	}
	var growths []time.Duration
	for peer, rtt := range least {
		l := s.peers[peer]
		if l == nil {
			if len(s.peers) >= maxSlowLinkPeers {
				s.forget(now)
			}
			if len(s.peers) >= maxSlowLinkPeers {
				continue
			}
			l = &leastTime{since: now, firstAt: now}
			s.peers[peer] = l
		}
		if growth := l.add(rtt, now); now.Sub(l.firstAt) >= minPeerAge {
			growths = append(growths, growth)
		}
	}
	if len(growths) < minSlowPeers {
		return 0, false
	}
	slices.Sort(growths)
	return growths[(len(growths)-1)/2], true
}

// forget removes the peers without a sample in the last window.
func (s *SlowLink) forget(now time.Time) {
	for peer, l := range s.peers {
		if now.Sub(l.seenAt) >= leastTimeWindow {
			delete(s.peers, peer)
		}
	}
}
