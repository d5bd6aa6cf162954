package slopes

import (
	"bufio"
	"bytes"
	"io"
	"math"
	"slices"
	"sync"
	"time"
)

// streamLatencies collects the latencies of the events of streams. It is safe for
// concurrent use.
type streamLatencies struct {
	mu          sync.Mutex
	firstEvents []time.Duration // time from a request to its first event
	gaps        []time.Duration // time between successive events of one stream
}

// percentile95 is the quantile for which the design size sets latency limits.
const percentile95 = 0.95

// read reads a stream whose request was sent at begin and reports whether its last
// event arrived.
func (s *streamLatencies) read(body io.Reader, begin time.Time) (complete bool, err error) {
	var times []time.Time
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			complete = true
			continue
		}
		times = append(times, time.Now())
	}
	s.add(begin, times)
	return complete, lines.Err()
}

func (s *streamLatencies) add(begin time.Time, times []time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, t := range times {
		if i == 0 {
			s.firstEvents = append(s.firstEvents, t.Sub(begin))
			continue
		}
		s.gaps = append(s.gaps, t.Sub(times[i-1]))
	}
}

// takeP95 returns the 95th percentiles of the time to the first event and between
// events, in milliseconds, and discards the collected values.
func (s *streamLatencies) takeP95() (first, gap float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first, gap = quantile(s.firstEvents, percentile95), quantile(s.gaps, percentile95)
	s.firstEvents, s.gaps = nil, nil
	return first, gap
}

// quantile returns the quantile q of values in milliseconds, 0 if there are no
// values. It sorts values in place.
func quantile(values []time.Duration, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	rank := int(math.Ceil(q*float64(len(values)))) - 1
	return values[max(0, rank)].Seconds() * 1000
}
