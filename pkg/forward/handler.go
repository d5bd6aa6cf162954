package forward

import (
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/peppertrail/peppertrail/pkg/balance"
	"github.com/peppertrail/peppertrail/pkg/dialect"
	"github.com/peppertrail/peppertrail/pkg/escrow"
	"github.com/peppertrail/peppertrail/pkg/retrylimit"
	"github.com/peppertrail/peppertrail/pkg/routing"
	"github.com/peppertrail/peppertrail/pkg/upstream"
)

// Options are the parts that a Handler uses.
type Options struct {
	Dialect dialect.Dialect
	// Configuration returns the configuration in force, nil before the first.
	Configuration func() *routing.Configuration
	Targets       *balance.Set
	Client        *upstream.Client
	Budgets       *escrow.Manager
	Suspects      *Suspects
	// Leaving reports whether the host is stopping. Answers then close their connections.
	Leaving func() bool
	// RetryRatio, RetryReserve and RetryWindow bound the retries of all hosts together.
	RetryRatio   float64
	RetryReserve float64
	RetryWindow  time.Duration
	Observer     Observer
	Log          *log.Logger
}

// Observer counts decisions.
type Observer interface {
	// Refused is called for each answer of the host's own.
	Refused(r Reason, status int)
	// Retried is called for each further attempt, with the reason that ended the one before.
	Retried(r Reason)
	// Answered is called for each answer of a target passed on to its end.
	Answered(service string, status int, firstByte, total time.Duration)
}

// Handler serves callers. It is safe for concurrent use.
type Handler struct {
	Options
	mu     sync.Mutex
	limits map[string]*retrylimit.Limit // by service
}

// New returns a handler.
func New(o Options) *Handler {
	return &Handler{Options: o, limits: make(map[string]*retrylimit.Limit)}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{h: h, w: w, r: r, arrived: time.Now(), reservation: &escrow.Reservation{}}
	if h.Leaving() {
		w.Header().Set("Connection", "close")
	}
	ctx, cancel := c.admitted()
	defer cancel()
	c.ctx = ctx
	refusal := c.prepare()
	if refusal == nil {
		refusal = c.forward()
	}
	c.reservation.Settle(c.spent())
	if refusal != nil {
		c.end(refusal)
	}
}

// limit returns the retry limit of a service.
func (h *Handler) limit(service string) *retrylimit.Limit {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.limits[service]
	if l == nil {
		l = retrylimit.New(h.RetryRatio, 0, h.RetryWindow)
		h.limits[service] = l
	}
	l.SetReserve(h.RetryReserve / float64(h.Targets.Hosts()))
	return l
}
