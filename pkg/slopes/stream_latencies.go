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

// stopwatch collects when the events of streams arrive. It is safe for
// concurrent use.
type streamLatencies struct {
	mu          sync.Mutex
	firstEvents []time.Duration // from the request to its first event
	gaps        []time.Duration // between successive events of one stream
}

// percentile95 is the share of requests that the design size sets limits for.
const percentile95 = 0.95

// read reads a stream that was asked for at begin and reports whether its last
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

// p95 returns the time to the first event and between events that 95 in 100
// stay within, in milliseconds, and forgets both.
func (s *streamLatencies) takeP95() (first, gap float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first, gap = quantile(s.firstEvents, percentile95), quantile(s.gaps, percentile95)
	s.firstEvents, s.gaps = nil, nil
	return first, gap
}

// quantile returns a quantile in milliseconds, 0 without values. It sorts values.
func quantile(values []time.Duration, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	rank := int(math.Ceil(q*float64(len(values)))) - 1
	return values[max(0, rank)].Seconds() * 1000
}
