package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"github.com/peppertrail/peppertrail/pkg/standin/engine"
	"github.com/peppertrail/peppertrail/pkg/standin/process"
	"github.com/peppertrail/peppertrail/pkg/target"
)

// engineFlags holds the flags of the subcommand engine. Times may be fractional.
type engineFlags struct {
	listen         string
	kind           string
	slots          int
	maxQueue       int
	tokenMS        float64
	prefillTokenMS float64
	loadMS         float64
	cacheBlocks    int
	cacheLagMS     float64
	cacheGap       int
	reportLagMS    float64
	keepSeconds    float64
	checkFencing   bool
	crashMarker    string
	journal        string
}

// defaultEngineFlags returns the flags of a small engine that generates 64 streams
// at once, each at 50 tokens/s.
func defaultEngineFlags() engineFlags {
	return engineFlags{
		listen:         "127.0.0.1:0",
		kind:           string(target.PromText),
		slots:          64,
		tokenMS:        20,
		prefillTokenMS: 0.1,
		cacheBlocks:    4096,
		cacheLagMS:     200,
		cacheGap:       50,
		reportLagMS:    200,
		keepSeconds:    60,
	}
}

func engineCommand() command {
	f := defaultEngineFlags()
	sub := flaggy.NewSubcommand("engine")
	sub.Description = "model engine that streams deterministic answers"
	sub.String(&f.listen, "", "listen", "address to listen on; port 0 picks a free one")
	sub.String(&f.kind, "", "kind", "report: promtext or jsonstatus")
	sub.Int(&f.slots, "", "slots", "streams that generate at once")
	sub.Int(&f.maxQueue, "", "max-queue", "streams that may wait, more get 429; 0: no limit")
	sub.Float64(&f.tokenMS, "", "token-ms", "ms per token of a stream; 0: no delay")
	sub.Float64(&f.prefillTokenMS, "", "prefill-token-ms", "ms of prefill per prompt token outside the prefix cache")
	sub.Float64(&f.loadMS, "", "load-ms", "ms after the start during which streams get 503")
	sub.Int(&f.cacheBlocks, "", "cache-blocks", "KV cache size in blocks of 16 tokens")
	sub.Float64(&f.cacheLagMS, "", "cache-lag-ms", "ms until a cache event is published")
	sub.Int(&f.cacheGap, "", "cache-gap", "every n-th cache event is lost; 0: none")
	sub.Float64(&f.reportLagMS, "", "report-lag-ms", "age of reports in ms")
	sub.Float64(&f.keepSeconds, "", "keep-seconds", "seconds that ended streams can be resumed")
	sub.Bool(&f.checkFencing, "", "check-fencing", "refuse fencing numbers below the highest seen")
	sub.String(&f.crashMarker, "", "crash-marker", "content that makes the process exit with status 3")
	sub.String(&f.journal, "", "journal", "file to append start, progress and end records to")
	return command{sub: sub, run: func(ctx context.Context) error { return runEngine(ctx, f) }}
}

// runEngine serves until ctx is done, then waits for the accepted streams to end.
func runEngine(ctx context.Context, f engineFlags) error {
	e, err := engine.New(f.options())
	if err != nil {
		return fmt.Errorf("engine: %w", err)
	}
	drainAndWait := func() {
		e.Drain()
		e.Wait()
	}
	if err := process.Serve(ctx, f.listen, e.Handler(), os.Stdout, drainAndWait); err != nil {
		return fmt.Errorf("engine: %w", err)
	}
	return e.Close()
}

// options converts the flags to engine options.
func (f engineFlags) options() engine.Options {
	return engine.Options{
		Kind:         target.Kind(f.kind),
		Slots:        f.slots,
		MaxQueue:     f.maxQueue,
		TokenTime:    milliseconds(f.tokenMS),
		PrefillTime:  milliseconds(f.prefillTokenMS),
		LoadTime:     milliseconds(f.loadMS),
		CacheBlocks:  f.cacheBlocks,
		CacheLag:     milliseconds(f.cacheLagMS),
		CacheGap:     f.cacheGap,
		ReportLag:    milliseconds(f.reportLagMS),
		Retention:    time.Duration(f.keepSeconds * float64(time.Second)),
		CheckFencing: f.checkFencing,
		CrashMarker:  f.crashMarker,
		Journal:      f.journal,
	}
}

// milliseconds converts a number of milliseconds, which may be fractional.
func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
