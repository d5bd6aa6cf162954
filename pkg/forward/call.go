package forward

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/peppertrail/peppertrail/pkg/balance"
	"github.com/peppertrail/peppertrail/pkg/callermem"
	"github.com/peppertrail/peppertrail/pkg/dialect"
	"github.com/peppertrail/peppertrail/pkg/escrow"
	"github.com/peppertrail/peppertrail/pkg/routing"
	"github.com/peppertrail/peppertrail/pkg/upstream"
)

// call is the state of one request while this host handles it.
type call struct {
	h          *Handler
	w          http.ResponseWriter
	r          *http.Request
	ctx        context.Context // cancelled when the caller disconnects and at the deadline
	receivedAt time.Time
	deadline   time.Time // zero: no deadline

	config      *routing.Configuration
	route       *routing.Route
	service     *routing.Service
	customer    *routing.Customer
	id          string
	body        []byte
	cost        dialect.Cost
	outputHint  int64          // expected output in tokens
	parts       []balance.Part // parts of the prompt that targets cache
	crashKeys   []string       // keys of the parts that other requests may share, and of the request itself
	reservation *escrow.Reservation
	refusal     *Refusal // how the request has ended; nil while it is open, and if the response of a target was forwarded

	sentAttempts int        // attempts in which the request was sent to a target
	stoppedBy    stopReason // why the request was not sent to another target; "": it was answered, or refused before the first attempt
	lacking      Reason     // why this host cannot send the request to any target; "": it can, as far as it knows
	fromHost     bool       // another host has forwarded the request
	counted      bool       // the request counts as one for the retry limit, here or at the host that has forwarded it
	minVersion   int64      // version of the configuration of the host that has forwarded the request
	runsBefore   int        // targets that may have run the request before another host forwarded it
	judged       bool       // this host has admitted the request by its own configuration, and reserved its tokens
	// chargedElsewhere means that the host to which the request was forwarded charges it, and
	// reservedElsewhere that the one that has forwarded it does.
	chargedElsewhere, reservedElsewhere bool
	possibleRuns                        int      // attempts in which the target may have run the request
	unreachedLate                       bool     // the last attempt in which a target was not reached took too long
	excluded                            []string // ids of the targets that were already tried
	events                              int64    // number of events sent to the caller
	lastEventID                         string   // id of the last event sent to the caller
	headerSent                          bool     // the response header has been sent to the caller
	notRead                             bool     // the response was abandoned, as the caller did not read it
	// nextTargetIn is the time until a target takes requests again, if no target was left
	// because of pauses or rate limits.
	nextTargetIn time.Duration

	bufferedBytes  int64               // size of all response bodies that were buffered, in bytes
	countedBytes   int64               // part of bufferedBytes that is counted in Handler.bodies
	bodyMemory     *callermem.Body     // memory of body; nil if there is none
	responseMemory *callermem.Response // memory of what targets answer; nil until the request is admitted
	unreadBody     bool                // the request is refused before its body was read
	reads          *readWatch          // of the response that is written; nil if it is not watched

	// The fields below are only used for logs and metrics.
	lastAttemptAt   time.Time        // when the last attempt started
	targetLoad      float64          // load of the last target when it was chosen, in requests
	targetRank      int              // position of the last target among the candidates in the order of their affinity to the prompt; 0 is the first
	timeToFirstByte time.Duration    // from the receipt of the request to the response header
	lastEventAt     time.Time        // when events were last written to the caller
	longestPause    time.Duration    // longest time between two writes of events
	attemptOutcomes []string         // id of each target tried, with the reason why the attempt failed
	framing         upstream.Framing // framing of the last response body
	trailingBytes   int              // bytes of the last event stream after its last complete event
}

// requestPath returns the path as it is written in the request line, undecoded.
func requestPath(r *http.Request) string {
	p, _, _ := strings.Cut(r.RequestURI, "?")
	return p
}

// remaining returns the time until the deadline, or timeoutWithoutDeadline.
func (c *call) remaining(now time.Time) time.Duration {
	if c.deadline.IsZero() {
		return timeoutWithoutDeadline
	}
	return c.deadline.Sub(now)
}

// timeoutWithoutDeadline bounds a request without a deadline, which would otherwise stay
// open for ever if its target sends bytes now and then.
const timeoutWithoutDeadline = time.Hour

// priority returns the customer's priority, or the route's if the customer has none.
func (c *call) priority() int {
	if c.customer != nil && c.customer.Priority != nil {
		return *c.customer.Priority
	}
	return c.route.Priority
}

// customerName returns the name of the customer, empty for an anonymous request.
func (c *call) customerName() string {
	if c.customer == nil {
		return ""
	}
	return c.customer.Name
}

// usedTokens returns the tokens that are charged for the request: none if no
// target can have run it or the targets have lost the answer, otherwise the prompt and
// the output. If the service limits the tokens per event, the output is bounded by the
// events sent.
func (c *call) usedTokens() int64 {
	if c.possibleRuns == 0 || c.chargedElsewhere || c.reservedElsewhere || c.answerLost() {
		return 0
	}
	output := c.cost.MaxOutput
	if c.service != nil && c.service.Engine != nil && c.service.Engine.TokensPerEvent > 0 {
		output = min(output, c.events*int64(c.service.Engine.TokensPerEvent))
	}
	return c.cost.Prompt + output
}

// answerLost reports whether the request has ended without any part of an answer, although
// its caller still waited. Customers do not pay for failures of targets.
func (c *call) answerLost() bool {
	return c.refusal != nil && c.events == 0 && c.refusal.Reason != DeadlinePassed && c.refusal.Reason != CallerGone && c.refusal.Reason != ResponseNotRead
}
