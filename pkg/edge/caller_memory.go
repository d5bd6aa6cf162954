package edge

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/peppertrail/peppertrail/pkg/callermem"
	"github.com/peppertrail/peppertrail/pkg/forward"
	"github.com/peppertrail/peppertrail/pkg/ingress"
)

// memoryLogInterval is the shortest time between two log lines about the same cause.
const memoryLogInterval = 5 * time.Second

// memoryPressure counts and logs what the account of the memory for callers refuses.
type memoryPressure struct {
	account *callermem.Account
	metrics *metrics
	log     *log.Logger

	mu       sync.Mutex
	loggedAt map[callermem.Cause]time.Time
	unlogged map[callermem.Cause]int // refusals since the last line, by cause
}

// newCallerMemory returns the account of the memory for callers.
func newCallerMemory(l callermem.Limits, m *metrics, logger *log.Logger) *callermem.Account {
	p := &memoryPressure{metrics: m, log: logger, loggedAt: make(map[callermem.Cause]time.Time), unlogged: make(map[callermem.Cause]int)}
	p.account = callermem.New(l, p.refused)
	m.observeCallerMemory(p.account)
	return p.account
}

// refused records that memory was refused or taken back.
func (p *memoryPressure) refused(cause callermem.Cause) {
	p.metrics.memoryRefusals.WithLabelValues(string(cause)).Inc()
	now := time.Now()
	p.mu.Lock()
	p.unlogged[cause]++
	times := p.unlogged[cause]
	due := now.Sub(p.loggedAt[cause]) >= memoryLogInterval
	if due {
		p.loggedAt[cause], p.unlogged[cause] = now, 0
	}
	p.mu.Unlock()
	if !due {
		return
	}
	line := p.log.Warn().Str("cause", string(cause)).Int("times", times).Int64("used", p.account.Used()).Int64("cap", p.account.Cap())
	for _, k := range callermem.Kinds() {
		line = line.Int64(k.String(), p.account.UsedBy(k))
	}
	line.Msg("Memory for callers is scarce. Requests are refused or incomplete ones ended.")
}

// callerSocket returns the connection of a request, nil if it is unknown.
func callerSocket(ctx context.Context) forward.CallerSocket {
	if c := ingress.FromContext(ctx); c != nil {
		return c
	}
	return nil
}

// bytesWait reports whether bytes of the caller of a request wait to be read.
func bytesWait(ctx context.Context) bool {
	c := ingress.FromContext(ctx)
	return c != nil && c.BytesWait()
}
