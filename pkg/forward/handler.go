package forward

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/peppertrail/peppertrail/pkg/balance"
	"github.com/peppertrail/peppertrail/pkg/callermem"
	"github.com/peppertrail/peppertrail/pkg/crashes"
	"github.com/peppertrail/peppertrail/pkg/dialect"
	"github.com/peppertrail/peppertrail/pkg/escrow"
	"github.com/peppertrail/peppertrail/pkg/nexthop"
	"github.com/peppertrail/peppertrail/pkg/ratelimit"
	"github.com/peppertrail/peppertrail/pkg/retrylimit"
	"github.com/peppertrail/peppertrail/pkg/routing"
	"github.com/peppertrail/peppertrail/pkg/upstream"
)

// Options are the settings and dependencies of a Handler.
type Options struct {
	Dialect dialect.Dialect
	// Configuration returns the current configuration, nil until one is loaded.
	Configuration func() *routing.Configuration
	// ConfigurationConfirmed reports whether the current configuration was recently found to
	// be the newest one. Nil: it always is.
	ConfigurationConfirmed func() bool
	Targets                *balance.Set
	RateLimits             *ratelimit.Limiter
	Client                 *upstream.Client
	Budgets                *escrow.Manager
	// Crashes knows which requests, and which parts of prompts, crash targets.
	Crashes *crashes.Tracker
	// ConfigurationLate reports whether the configuration is not confirmed because the store's
	// response is late. Nil: it never is.
	ConfigurationLate func() bool
	// TooManyConnections reports whether the host has too many connections to serve the request.
	// Nil: it never has.
	TooManyConnections func(*http.Request) bool
	// Overloaded reports whether this host has measured within the last seconds that its link is
	// saturated, so that late responses have their cause here. Nil: it never has.
	Overloaded func() bool
	// CallerClosed reports whether the caller of the request with this context has closed
	// its connection, also if the server has not read that yet. Nil: only the end of the
	// context tells.
	CallerClosed func(context.Context) bool
	// Stop returns how the host shuts down, nil while it does not. Responses close the
	// connection to the caller then. Nil: it never does.
	Stop func() *Stop
	// ConfigurationOutdated reports whether another host has had a newer configuration for so
	// long that this one must not act by its own. Nil: it never has.
	ConfigurationOutdated func() bool
	// Hosts chooses the hosts that requests are forwarded to which this host cannot serve, and
	// HostClient sends them. Nil: they are refused.
	Hosts      *nexthop.Selector
	HostClient *upstream.Client
	// Admission bounds the requests of other hosts that ServeHost serves.
	Admission *nexthop.Admission
	// RetryRatio is the maximum ratio of the retries to the requests of a service
	// within RetryWindow. RetryReserve allows further retries.
	RetryRatio float64
	// RetryReserve returns the number of retries of a service that this host may send
	// within RetryWindow regardless of the number of requests; 0 while its share of the
	// fleet's reserve is unknown.
	RetryReserve func() float64
	// RetryWindow is the period for which retries are limited.
	RetryWindow time.Duration
	// StartedAt is the start of the process, from which the reserve accrues.
	StartedAt time.Time
	// BufferedBytes bounds the memory for response bodies of all requests that are
	// buffered before they are forwarded, apart from a small part of each. 0 selects a
	// default.
	BufferedBytes int64
	// CallerMemory is the account of the memory held for callers. Nil: without limit.
	CallerMemory *callermem.Account
	// BytesWait reports whether bytes of the caller of the request with this context wait to
	// be read. Nil: they never do.
	BytesWait func(context.Context) bool
	// CallerSocket returns the connection of the request with this context, nil if it is
	// unknown. Nil: callers that do not read keep what they hold until the deadline.
	CallerSocket func(context.Context) CallerSocket
	// MinReadRate is the least rate, in bytes per second, at which a caller must accept its
	// response while others need what it holds. One that accepts nothing is too slow after
	// ReadWindow. 0 selects a default.
	MinReadRate int64
	ReadWindow  time.Duration
	// StreamStallTimeout is the longest time in which a target completes no event of a
	// stream. 0 selects a default.
	StreamStallTimeout time.Duration
	Observer           Observer
	Log                *log.Logger
}

// Observer is notified of the results of requests, for metrics.
type Observer interface {
	// Refused is called for each request that ends without a complete response of a target.
	Refused(r Reason, status int)
	// Retried is called for each retry, with the reason why the previous attempt failed.
	Retried(r Reason)
	// Answered is called for each response of a target that was forwarded completely.
	// firstByte is the time from the receipt of the request until the response header
	// was sent to the caller, total the time until the response was sent
	// completely. For a response that is not an event stream they are equal.
	Answered(service string, status int, firstByte, total time.Duration)
	// StreamEnded is called for each event stream of a target, with the framing of its
	// body and how it ended.
	StreamEnded(framing upstream.Framing, end StreamEnd)
	// ResponseAbandoned is called for each response that is abandoned because its caller does
	// not read, with the resource that others need.
	ResponseAbandoned(needed NeededResource)
}

// Handler forwards the requests of callers to targets. It is safe for concurrent use.
type Handler struct {
	Options
	bodies      bodyMemory
	answerTimes answerTimes
	unread      unreadResponses
	mu          sync.Mutex
	retryLimits map[string]*retrylimit.Limit // by service name
	unreadable  sync.Map                     // names of the headers of targets that could not be parsed
}

// New returns a handler with options o.
func New(o Options) *Handler {
	if o.BufferedBytes <= 0 {
		o.BufferedBytes = defaultBufferedBytes
	}
	if o.StreamStallTimeout <= 0 {
		o.StreamStallTimeout = defaultStreamStallTimeout
	}
	if o.MinReadRate <= 0 {
		o.MinReadRate = defaultMinReadRate
	}
	if o.ReadWindow <= 0 {
		o.ReadWindow = defaultReadWindow
	}
	if o.CallerMemory == nil {
		o.CallerMemory = noCallerMemoryLimit()
	}
	return &Handler{Options: o, bodies: bodyMemory{max: o.BufferedBytes}, retryLimits: make(map[string]*retrylimit.Limit)}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.newCall(w, r).serve() }

func (h *Handler) newCall(w http.ResponseWriter, r *http.Request) *call {
	return &call{h: h, w: w, r: r, receivedAt: time.Now(), id: r.Header.Get(h.Dialect.RequestID), reservation: &escrow.Reservation{}}
}

// serve handles the request to its end.
func (c *call) serve() {
	if c.h.shuttingDown() {
		c.w.Header().Set("Connection", "close")
	}
	ctx, cancel := c.setRouteAndDeadline()
	defer cancel()
	defer c.releaseBodies()
	c.ctx = ctx
	c.setBodyDeadline(ctx)
	c.refusal = c.prepare()
	switch {
	case c.refusal != nil:
	case c.lacking != "":
		c.refusal = c.forwardToHost(c.lacking)
	default:
		c.refusal = c.forward()
	}
	c.reservation.Settle(c.usedTokens())
	if c.refusal != nil {
		c.sendRefusal(c.refusal)
	}
	if c.unreadBody {
		c.discardBody()
	}
}

// retryLimit returns the retry limit of a service, with this host's current share
// of the reserve.
func (h *Handler) retryLimit(service string) *retrylimit.Limit {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.retryLimits[service]
	if l == nil {
		l = retrylimit.New(h.RetryRatio, 0, h.RetryWindow, h.StartedAt)
		h.retryLimits[service] = l
	}
	l.SetReserve(h.RetryReserve())
	return l
}
