package slopes

import (
	"context"
	"fmt"
	"io"
	"time"
)

const (
	tokenStreams = 200                   // concurrent streams
	tokenTime    = 20 * time.Millisecond // time per token, so that each token is a separate write, as with real engines
)

// measureTokens measures the cost of one daemon per streamed token.
func measureTokens(ctx context.Context, s Settings, _ io.Writer) ([]Slope, error) {
	results := newSeries("token")
	f, err := startFleet(ctx, s.spec(fleetSpec{daemons: 1, targets: requestTargets, tokenTime: tokenTime}))
	defer f.stop()
	if err != nil {
		return nil, err
	}
	l := newLoad(f)
	defer l.close()
	if err := l.warmUp(ctx, s); err != nil {
		return nil, err
	}
	for _, n := range s.TokenSizes {
		before, err := f.sample()
		if err != nil {
			return nil, err
		}
		if failed, first := l.sendAll(ctx, tokenStreams, tokenStreams, n); failed > 0 {
			return nil, fmt.Errorf("%d of %d streams failed: %w", failed, tokenStreams, first)
		}
		w, err := f.usageSince(before)
		if err != nil {
			return nil, err
		}
		tokens := float64(n * tokenStreams)
		results.add("cpu_seconds_per_token", tokens, w.cpu.Seconds())
		results.add("target_bytes_per_token", tokens, w.targetBytes)
	}
	return results.slopes(), nil
}
