package forward

import (
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/peppertrail/peppertrail/pkg/balance"
	"github.com/peppertrail/peppertrail/pkg/upstream"
)

// maxBufferedBodyBytes bounds an answer that is read before it is passed on, in bytes.
const maxBufferedBodyBytes = 16 << 20

// forwardBuffered reads an answer to its end and passes it on.
func (c *call) forwardBuffered(a *balance.Attempt, response *upstream.Response) attemptResult {
	body, err := response.ReadWhole(maxBufferedBodyBytes)
	now := time.Now()
	if err != nil {
		if c.ctx.Err() != nil {
			a.End(now, balance.Cancelled)
			return attemptResult{reason: DeadlinePassed, mayHaveRun: true}
		}
		a.End(now, balance.Broken)
		c.h.Suspects.Broke(c.fingerprint, a.Target.ID, now)
		return attemptResult{reason: AnswerBroken, mayHaveRun: true}
	}
	if c.headerSent {
		// The caller has a part of a stream, which this answer does not continue.
		a.End(now, balance.Failed)
		return attemptResult{reason: TargetFailed, mayHaveRun: true}
	}
	writeResponse := func() { c.writeResponse(response, body) }
	switch {
	case statusMeansNotRun(response.Status):
		// The target claims the opposite of its own header; the caller must not
		// take its status as a proof that nothing has run.
		a.End(now, balance.Failed)
		return attemptResult{reason: TargetFailed, mayHaveRun: true}
	case response.Status >= http.StatusInternalServerError:
		a.End(now, balance.Failed)
		return attemptResult{reason: TargetFailed, mayHaveRun: true, forwardFailure: writeResponse}
	}
	a.End(now, balance.Served)
	writeResponse()
	return attemptResult{done: true}
}

// statusMeansNotRun reports whether a status says that the request has not run.
func statusMeansNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// writeResponse sends a whole answer to the caller.
func (c *call) writeResponse(response *upstream.Response, body []byte) {
	c.copyResponseHeader(response)
	c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	c.w.WriteHeader(response.Status)
	if _, err := c.w.Write(body); err != nil {
		c.h.Log.Info().Str("request", c.id).Err(err).Msg("Caller left before the end of its answer.")
	}
	c.headerSent = true
	c.recordResponse(response.Status)
}

// copyResponseHeader copies the header of a target's answer.
func (c *call) copyResponseHeader(response *upstream.Response) {
	header := c.w.Header()
	maps.Copy(header, response.Header)
	for _, name := range hopByHopHeaders {
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

// recordResponse counts an answer that was passed on to its end.
func (c *call) recordResponse(status int) {
	c.h.Suspects.Answered(c.fingerprint)
	total := time.Since(c.receivedAt)
	if c.timeToFirstByte == 0 {
		c.timeToFirstByte = total
	}
	c.h.Observer.Answered(c.service.Name, status, c.timeToFirstByte, total)
	c.h.Log.Info().Str("request", c.id).Str("route", c.route.Name).Str("customer", c.customerName()).Strs("targets", c.attemptOutcomes).Int("status", status).
		Int64("cost", c.usedTokens()).Int64("prompt", c.cost.Prompt).Int64("events", c.events).Float64("load", c.targetLoad).Int("rank", c.targetRank).
		Dur("sent", c.lastSentAt.Sub(c.receivedAt)).Dur("first_byte", c.timeToFirstByte).Dur("pause", c.longestPause).Dur("total", total).Msg("Request answered.")
}

// sendRefusal answers a request that no target has answered. If a part of an answer is
// out already, the connection is closed without its sendRefusal.
func (c *call) sendRefusal(refusal *Refusal) {
	c.h.Observer.Refused(refusal.Reason, refusal.Status)
	route := ""
	if c.route != nil {
		route = c.route.Name
	}
	c.h.Log.Info().Str("request", c.id).Str("route", route).Str("customer", c.customerName()).Int64("cost", c.usedTokens()).Str("reason", string(refusal.Reason)).Int("status", refusal.Status).Str("stopped_by", string(c.stoppedBy)).
		Bool("may_have_run", c.possibleRuns > 0).Strs("targets", c.attemptOutcomes).Int64("events", c.events).Dur("after", time.Since(c.receivedAt)).Msg("Request not answered by a target.")
	if c.headerSent {
		panic(http.ErrAbortHandler)
	}
	refusal.write(c.w)
}
