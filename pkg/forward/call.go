package forward

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/peppertrail/peppertrail/pkg/balance"
	"github.com/peppertrail/peppertrail/pkg/dialect"
	"github.com/peppertrail/peppertrail/pkg/escrow"
	"github.com/peppertrail/peppertrail/pkg/routing"
)

// call is one request of a caller on its way through this host.
type call struct {
	h          *Handler
	w          http.ResponseWriter
	r          *http.Request
	ctx        context.Context // ends with the caller's connection and at the deadline
	receivedAt time.Time
	deadline   time.Time // zero: none

	config      *routing.Configuration
	route       *routing.Route
	service     *routing.Service
	customer    *routing.Customer
	id          string
	body        []byte
	fingerprint uint64 // of a request that may come again under another id
	cost        dialect.Cost
	outputHint  int64
	parts       []balance.Part
	reservation *escrow.Reservation

	sentAttempts int        // sent to a target
	stoppedBy    stopReason // why the request was not sent again; "": it was not sent at all, or answered
	possibleRuns int        // attempts that may have run
	excluded     []string   // ids of targets that were tried
	events       int64      // passed on to the caller
	lastEventID  string     // id of the last event passed on
	headerSent   bool       // the head of the answer is out

	// For the log:
	lastSentAt      time.Time     // to the last target
	targetLoad      float64       // of the last target when it was chosen
	targetRank      int           // of the last target among those of the request's prompt part
	timeToFirstByte time.Duration // until the head was out
	lastEventAt     time.Time
	longestPause    time.Duration // between events
	attemptOutcomes []string      // targets and outcomes, for the log
}

// requestPath returns the requestPath as it stands in the request line.
func requestPath(r *http.Request) string {
	p, _, _ := strings.Cut(r.RequestURI, "?")
	return p
}

// remaining returns the time until the deadline.
func (c *call) remaining(now time.Time) time.Duration {
	if c.deadline.IsZero() {
		return timeoutWithoutDeadline
	}
	return c.deadline.Sub(now)
}

// timeoutWithoutDeadline stands for requests without one.
const timeoutWithoutDeadline = time.Hour

// priority returns the priority of the customer, or that of the route.
func (c *call) priority() int {
	if c.customer != nil && c.customer.Priority != nil {
		return *c.customer.Priority
	}
	return c.route.Priority
}

// customerName returns the name of the customer, empty without one.
func (c *call) customerName() string {
	if c.customer == nil {
		return ""
	}
	return c.customer.Name
}

// usedTokens returns the tokens that the request has cost so far.
func (c *call) usedTokens() int64 {
	if c.possibleRuns == 0 {
		return 0
	}
	output := c.cost.MaxOutput
	if c.service != nil && c.service.Engine != nil && c.service.Engine.TokensPerEvent > 0 {
		output = min(output, c.events*int64(c.service.Engine.TokensPerEvent))
	}
	return c.cost.Prompt + output
}
