package slopes

import (
	"context"
	"fmt"
	"io"
	"time"
)

const (
	streamTokenTime = 250 * time.Millisecond
	streamTokens    = 4000 // enough to keep each stream open for the whole measurement
)

// measureStreams measures the memory of one daemon against its open streams.
func measureStreams(ctx context.Context, s Settings, _ io.Writer) ([]Slope, error) {
	results := newSeries("stream")
	f, err := startFleet(ctx, s.spec(fleetSpec{daemons: 1, targets: requestTargets, tokenTime: streamTokenTime}))
	defer f.stop()
	if err != nil {
		return nil, err
	}
	if err := sleep(ctx, s.Settle); err != nil {
		return nil, err
	}
	l := newLoad(f)
	defer l.close()
	streams, cancel := context.WithCancel(ctx)
	defer cancel()
	opened := 0
	for _, n := range s.StreamSizes {
		for ; opened < n; opened++ {
			go func() { _ = l.send(streams, streamTokens) }() // the stream ends with an error because the measurement cancels it
		}
		w, err := f.measureUsage(ctx, s.Settle)
		if err != nil {
			return nil, err
		}
		if open := f.targets.openStreams(); open < n {
			return nil, fmt.Errorf("%d of %d streams are open", open, n)
		}
		results.add("memory_bytes_per_open_stream", float64(n), float64(w.heap))
	}
	return results.slopes(), nil
}
