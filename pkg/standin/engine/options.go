package engine

import (
	"fmt"
	"time"

	"github.com/peppertrail/peppertrail/pkg/target"
)

// Options are the settings of an engine stand-in.
type Options struct {
	Kind         target.Kind   // format of the served report: PromText or JSONStatus
	Slots        int           // maximum number of streams that generate concurrently
	MaxQueue     int           // maximum number of streams that wait for a slot; more are refused with 429; 0: no limit
	TokenTime    time.Duration // duration of a decoding step, which generates one token for each running stream; 0: no delay
	PrefillTime  time.Duration // prefill time per prompt token outside the prefix cache
	LoadTime     time.Duration // time after the start during which the engine loads its model and refuses streams
	CacheBlocks  int           // KV cache size in blocks of BlockTokens tokens
	CacheLag     time.Duration // delay until a cache event is published
	CacheGap     int           // every CacheGap-th cache event is dropped; 0: none
	ReportLag    time.Duration // age of the state that reports show
	Retention    time.Duration // how long ended streams can be resumed
	CheckFencing bool          // refuse fencing numbers below the highest seen
	CrashMarker  string        // prompt content that makes the process exit; empty: none
	Journal      string        // path of the journal file; empty: none
	Exit         func(int)     // ends the process on a crash marker; nil: os.Exit
}

// validate returns an error for the first setting that is out of range.
func (o Options) validate() error {
	if o.Kind != target.PromText && o.Kind != target.JSONStatus {
		return fmt.Errorf("kind %q: want %q or %q", o.Kind, target.PromText, target.JSONStatus)
	}
	if o.Slots < 1 {
		return fmt.Errorf("slots %d: want at least 1", o.Slots)
	}
	if o.CacheBlocks < 1 {
		return fmt.Errorf("cache blocks %d: want at least 1", o.CacheBlocks)
	}
	if o.MaxQueue < 0 || o.CacheGap < 0 {
		return fmt.Errorf("queue limit %d and cache gap %d: want at least 0", o.MaxQueue, o.CacheGap)
	}
	if min(o.TokenTime, o.PrefillTime, o.LoadTime, o.CacheLag, o.ReportLag, o.Retention) < 0 {
		return fmt.Errorf("a time is negative")
	}
	return nil
}
