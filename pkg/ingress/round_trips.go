package ingress

import "github.com/peppertrail/peppertrail/pkg/bandwidth"

// maxSampledConns bounds the connections whose round-trip times are read at a time, as each takes
// a system call.
const maxSampledConns = 64

// RoundTrips returns the round-trip times that the kernel has measured lately on some connections.
func (l *Listener) RoundTrips() []bandwidth.RoundTrip {
	l.mu.Lock()
	sampled := make([]*Conn, 0, min(len(l.conns), maxSampledConns))
	for c := range l.conns {
		if len(sampled) == maxSampledConns {
			break
		}
		sampled = append(sampled, c)
	}
	l.mu.Unlock()
	var samples []bandwidth.RoundTrip
	for _, c := range sampled {
		if sample, ok := bandwidth.SampleRoundTrip(c.TCPConn); ok {
			samples = append(samples, sample)
		}
	}
	return samples
}
