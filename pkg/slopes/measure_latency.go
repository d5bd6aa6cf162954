package slopes

import (
	"context"
	"fmt"
	"io"
)

// latencyTokens is the length of the answers in measureLatency, in tokens.
const latencyTokens = 16

// measureLatency measures the time to the first token and between tokens at one
// daemon against its request rate. Both figures include the time of the targets,
// which need no time for the prompt and tokenTime for each token.
func measureLatency(ctx context.Context, s Settings, out io.Writer) ([]Slope, error) {
	results := newSeries("request_per_second")
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
	for _, rate := range s.RateSizes {
		l.latencies.takeP95() // discards the latencies of earlier requests
		sent, failed := l.sendAtRate(ctx, float64(rate), s.Window/2, latencyTokens)
		if failed > 0 {
			return nil, fmt.Errorf("%d of %d requests failed", failed, sent)
		}
		first, gap := l.latencies.takeP95()
		results.add("first_token_p95_ms", float64(rate), first)
		results.add("token_gap_p95_ms", float64(rate), gap)
		fmt.Fprintf(out, "latency rate=%d sent=%d first_token_p95_ms=%.1f token_gap_p95_ms=%.1f\n", rate, sent, first, gap)
	}
	return results.slopes(), nil
}
