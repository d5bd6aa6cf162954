package forward

import (
	"net/http"
	"time"

	"github.com/peppertrail/peppertrail/pkg/nexthop"
	"github.com/peppertrail/peppertrail/pkg/routing"
	"github.com/peppertrail/peppertrail/pkg/upstream"
)

const (
	// maxHops is the number of other hosts that one request is offered to. A refusal comes
	// within milliseconds.
	maxHops = 3
	// unsentBeforeHop is the number of targets that could not be reached after which a request
	// is forwarded to another host, although this host has reached targets lately: open
	// connections may live on while new ones are refused.
	unsentBeforeHop = 2
	// hopAnswerMargin is the time by which another host has less for a request than this one,
	// so that its refusal arrives before the deadline, unless little time is left.
	hopAnswerMargin = 20 * time.Millisecond
)

// unknownRoute and unknownService stand for those of a request that only another host knows:
// it may run once, and its answer is not bounded.
var (
	unknownRoute   = &routing.Route{Kind: routing.Unsafe}
	unknownService = &routing.Service{}
)

// forwardToHost sends the request to another host, which handles it as one of its own: it
// authenticates the caller and chooses the targets. Tokens that this host has reserved stay with
// it; otherwise the other one reserves them. lacking is why this host cannot send the request to a
// target; it is the reason of the refusal if no other host can either.
func (c *call) forwardToHost(lacking Reason) *Refusal {
	if !c.mayForwardToHost() {
		return c.refusalFor(lacking)
	}
	c.chargedElsewhere = !c.judged
	c.standInForUnknown()
	var excluded []string
	for range maxHops {
		if c.ctx.Err() != nil || c.callerClosed() {
			return c.refusalFor(CallerGone)
		}
		hop := c.h.Hosts.Pick(c.serviceName(), excluded, time.Now())
		if hop == nil {
			break
		}
		excluded = append(excluded, hop.Host.Name)
		refusal, ended := c.sendToHost(hop)
		if ended {
			return refusal
		}
	}
	return c.refusalFor(lacking)
}

// mayForwardToHost reports whether another host may handle the request: it did not come from
// one, and it may run there even if a target of this host has run it.
func (c *call) mayForwardToHost() bool {
	if c.h.Hosts == nil || c.fromHost {
		return false
	}
	return c.possibleRuns == 0 || c.route.Idempotent() && c.possibleRuns < max(1, c.route.MaxAttempts)
}

// standInForUnknown sets a route and a service if only the other host knows them.
func (c *call) standInForUnknown() {
	if c.route == nil {
		c.route = unknownRoute
	}
	if c.service == nil {
		c.service = unknownService
	}
}

func (c *call) serviceName() string {
	if c.service == nil {
		return ""
	}
	return c.service.Name
}

// sendToHost sends the request to one host. ended means that no other host is tried; the
// refusal is nil then if the answer was forwarded.
func (c *call) sendToHost(hop *nexthop.Hop) (refusal *Refusal, ended bool) {
	c.lastAttemptAt = time.Now()
	c.attemptOutcomes = append(c.attemptOutcomes, hop.Host.Name)
	response, err := c.h.HostClient.Send(c.ctx, hop.Host.Addr, c.hostRequest(), 0)
	if err != nil {
		return c.handleHostError(hop, err)
	}
	c.counted = true // by that host, or by none; a second one must not count it as well
	defer response.Close()
	if reason := Reason(response.Header.Get(refusedHeader)); reason != "" {
		return c.handleHostRefusal(hop, response, reason)
	}
	c.possibleRuns++
	result := c.forwardHostResponse(response)
	hop.End(nexthop.Answered, time.Now()) // a host breaks its answer off if its target does
	if result.done {
		return nil, true
	}
	// The request may have run there on all targets that its route allows, so no other host
	// continues it.
	return c.refusalFor(result.reason), true
}

// hostRequest builds the request for another host: that of the caller, with the time that is
// left and what this host has done.
func (c *call) hostRequest() *upstream.Request {
	d := c.h.Dialect
	r := &upstream.Request{Method: c.r.Method, URI: c.r.RequestURI, Host: c.r.Host, Body: c.body, ID: c.id, EchoHeader: d.RequestID}
	connectionOptionNames := c.connectionOptions()
	for name, values := range c.r.Header {
		if name == d.CallTimeout || name == hopHeader || name == d.LastEventID && c.lastEventID != "" || isHopByHop(name, connectionOptionNames) {
			continue
		}
		for _, value := range values {
			r.Fields = append(r.Fields, upstream.Field{Name: name, Value: value})
		}
	}
	addField := func(name, value string) { r.Fields = append(r.Fields, upstream.Field{Name: name, Value: value}) }
	if !c.deadline.IsZero() {
		left := c.remaining(time.Now())
		addField(d.CallTimeout, d.FormatTimeout(max(left-hopAnswerMargin, left/2)))
	}
	if c.lastEventID != "" {
		addField(d.LastEventID, c.lastEventID)
	}
	addField(hopHeader, hopInfo{counted: c.counted, reserved: c.judged, runs: c.possibleRuns, version: c.config.Version}.String())
	return r
}

// handleHostError handles a request to another host that ended before a response header.
func (c *call) handleHostError(hop *nexthop.Hop, err error) (refusal *Refusal, ended bool) {
	if upstream.MayHaveRun(err) {
		c.possibleRuns++
	}
	if c.ctx.Err() != nil {
		hop.End(nexthop.Cancelled, time.Now())
		return c.refusalFor(DeadlinePassed), true
	}
	c.h.Log.Info().Str("request", c.id).Str("host", hop.Host.Name).Err(err).Msg("Another host did not answer a forwarded request.")
	hop.End(nexthop.Unreached, time.Now())
	if upstream.MayHaveRun(err) {
		return c.refusalFor(AnswerBroken), true
	}
	return nil, false
}

// hostOutcomes are the refusals after which another host may still serve a request.
var hostOutcomes = map[Reason]nexthop.Outcome{
	NoPath:                   nexthop.NoPath,
	HostFull:                 nexthop.Full,
	Overloaded:               nexthop.Full,
	CallerMemory:             nexthop.Full,
	NoConfiguration:          nexthop.Outdated,
	ConfigurationUnconfirmed: nexthop.Outdated,
	ConfigurationOutdated:    nexthop.Outdated,
	ShuttingDown:             nexthop.ShuttingDown,
}

// handleHostRefusal handles the refusal of another host, whose status says whether the request
// may have run there.
func (c *call) handleHostRefusal(hop *nexthop.Hop, response *upstream.Response, reason Reason) (refusal *Refusal, ended bool) {
	response.Discard(maxRejectionBodyBytes, rejectionBodyTimeout)
	outcome, mayServe := hostOutcomes[reason]
	hop.End(outcome, time.Now()) // of other reasons, Answered
	c.attemptOutcomes[len(c.attemptOutcomes)-1] += ":" + string(reason)
	if response.Status == http.StatusBadGateway || response.Status == http.StatusGatewayTimeout {
		c.possibleRuns++
		return &Refusal{Status: response.Status, Reason: reason}, true
	}
	if mayServe {
		return nil, false
	}
	if c.possibleRuns > 0 {
		return refuseMayHaveRun(reason), true
	}
	retryAfter, err := parseRetryAfter(response.Header.Get("Retry-After"))
	if err != nil {
		retryAfter = 0 // the host has named none
	}
	return &Refusal{Status: response.Status, Reason: reason, RetryAfter: retryAfter}, true
}

// forwardHostResponse forwards the response that another host has forwarded.
func (c *call) forwardHostResponse(response *upstream.Response) attemptResult {
	c.framing, c.trailingBytes = response.Framing, 0
	if !isEventStream(response.Header) || response.Status != http.StatusOK {
		return c.forwardBufferedHostResponse(response)
	}
	splitter, _, writeErr, err := c.pumpEvents(nil, response)
	if writeErr != nil {
		return c.handleWriteError(writeErr)
	}
	c.trailingBytes = len(splitter.remainder())
	switch c.streamEnd(response.Framing, splitter, err) {
	case StreamComplete:
		c.completeStream(response, splitter)
		return attemptResult{done: true}
	case StreamCancelled:
		return attemptResult{reason: DeadlinePassed, mayHaveRun: true}
	}
	c.h.Log.Info().Str("request", c.id).Int64("events", c.events).Err(err).Msg("Event stream of another host ended before it was complete.")
	return attemptResult{reason: AnswerBroken, mayHaveRun: true}
}

func (c *call) forwardBufferedHostResponse(response *upstream.Response) attemptResult {
	body, err := c.bufferBody(response)
	switch {
	case err != nil && c.ctx.Err() != nil:
		return attemptResult{reason: DeadlinePassed, mayHaveRun: true}
	case err != nil:
		c.h.Log.Info().Str("request", c.id).Err(err).Msg("Response of another host could not be read to its end.")
		return attemptResult{reason: AnswerBroken, mayHaveRun: true}
	case c.headerSent || statusMeansNotRun(response.Status): // not the continuation of the stream, or without the host's own word
		return attemptResult{reason: TargetFailed, mayHaveRun: true}
	}
	c.writeResponse(response, body)
	return c.writtenResult()
}

// ServeHost handles a request of another host, which cannot serve it itself. It is not
// forwarded to a third one.
func (h *Handler) ServeHost(w http.ResponseWriter, r *http.Request) {
	c := h.newCall(w, r)
	info := readHopInfo(r.Header)
	c.fromHost, c.counted, c.reservedElsewhere, c.runsBefore, c.minVersion = true, info.counted, info.reserved, info.runs, info.version
	if !h.Admission.Enter() {
		c.sendRefusal(refuseNotRun(HostFull, withJitter(retryAfterHostFull)))
		return
	}
	defer h.Admission.Leave()
	c.serve()
}
