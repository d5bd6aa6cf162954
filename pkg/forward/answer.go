package forward

import (
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/peppertrail/peppertrail/pkg/balance"
	"github.com/peppertrail/peppertrail/pkg/upstream"
)

// maxWholeBody bounds an answer that is read before it is passed on, in bytes.
const maxWholeBody = 16 << 20

// whole reads an answer to its end and passes it on.
func (c *call) whole(a *balance.Attempt, response *upstream.Response) step {
	body, err := response.ReadWhole(maxWholeBody)
	now := time.Now()
	if err != nil {
		if c.ctx.Err() != nil {
			a.End(now, balance.Cancelled)
			return step{reason: DeadlinePassed, ran: true}
		}
		a.End(now, balance.Broken)
		c.h.Suspects.Broke(c.fingerprint, a.Target.ID, now)
		return step{reason: AnswerBroken, ran: true}
	}
	if c.started {
		// The caller has a part of a stream, which this answer does not continue.
		a.End(now, balance.Failed)
		return step{reason: TargetFailed, ran: true}
	}
	pass := func() { c.pass(response, body) }
	switch {
	case isPromise(response.Status):
		// The target claims the opposite of its own header; the caller must not
		// take its status as a proof that nothing has run.
		a.End(now, balance.Failed)
		return step{reason: TargetFailed, ran: true}
	case response.Status >= http.StatusInternalServerError:
		a.End(now, balance.Failed)
		return step{reason: TargetFailed, ran: true, passed: pass}
	}
	a.End(now, balance.Served)
	pass()
	return step{done: true}
}

// isPromise reports whether a status says that the request has not run.
func isPromise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// pass sends a whole answer to the caller.
func (c *call) pass(response *upstream.Response, body []byte) {
	c.head(response)
	c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	c.w.WriteHeader(response.Status)
	if _, err := c.w.Write(body); err != nil {
		c.h.Log.Info().Str("request", c.id).Err(err).Msg("Caller left before the end of its answer.")
	}
	c.started = true
	c.finished(response.Status)
}

// head copies the header of a target's answer.
func (c *call) head(response *upstream.Response) {
	header := c.w.Header()
	maps.Copy(header, response.Header)
	for _, name := range hopByHop {
		header.Del(name)
	}
	header.Del(c.h.Dialect.Load)
	if _, ok := response.Header["Content-Type"]; !ok {
		header["Content-Type"] = nil // net/http would guess one
	}
	if c.h.Leaving() {
		header.Set("Connection", "close")
	}
}

// finished counts an answer that was passed on to its end.
func (c *call) finished(status int) {
	c.h.Suspects.Answered(c.fingerprint)
	total := time.Since(c.arrived)
	if c.firstByte == 0 {
		c.firstByte = total
	}
	c.h.Observer.Answered(c.service.Name, status, c.firstByte, total)
	c.h.Log.Info().Str("request", c.id).Str("route", c.route.Name).Str("customer", c.customerName()).Strs("targets", c.trail).Int("status", status).
		Int64("cost", c.spent()).Int64("prompt", c.cost.Prompt).Int64("events", c.events).Float64("load", c.load).Int("rank", c.rank).
		Dur("sent", c.sent.Sub(c.arrived)).Dur("first_byte", c.firstByte).Dur("pause", c.longestPause).Dur("total", total).Msg("Request answered.")
}

// end answers a request that no target has answered. If a part of an answer is
// out already, the connection is closed without its end.
func (c *call) end(refusal *Refusal) {
	c.h.Observer.Refused(refusal.Reason, refusal.Status)
	route := ""
	if c.route != nil {
		route = c.route.Name
	}
	c.h.Log.Info().Str("request", c.id).Str("route", route).Str("customer", c.customerName()).Int64("cost", c.spent()).Str("reason", string(refusal.Reason)).Int("status", refusal.Status).Str("stopped_by", string(c.stopped)).
		Bool("may_have_run", c.ran > 0).Strs("targets", c.trail).Int64("events", c.events).Dur("after", time.Since(c.arrived)).Msg("Request not answered by a target.")
	if c.started {
		panic(http.ErrAbortHandler)
	}
	refusal.write(c.w)
}
