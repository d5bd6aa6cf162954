package forward

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/peppertrail/peppertrail/pkg/balance"
	"github.com/peppertrail/peppertrail/pkg/upstream"
)

// recordTargetState records what the header of a response says of its target: that it
// leaves, how many requests it takes, or that it wants a pause.
func (c *call) recordTargetState(a *balance.Attempt, response *upstream.Response) {
	c.recordRateLimit(a, response)
	switch value := response.Header.Get(c.h.Dialect.Leaving); value {
	case "", "0":
	case "1":
		if a.Leaving(time.Now()) {
			c.h.Log.Info().Str("request", c.id).Str("target", a.Target.ID).Msg("Target leaves, says its answer. It gets no further requests.")
		}
	default:
		c.h.logUnreadable(c.h.Dialect.Leaving, a.Target.ID, fmt.Errorf("%q is neither 0 nor 1", value))
	}
	value := response.Header.Get("Retry-After")
	if response.Status != http.StatusServiceUnavailable || value == "" {
		return
	}
	pause, err := parseRetryAfter(value)
	if err != nil {
		c.h.logUnreadable("Retry-After", a.Target.ID, err)
		return
	}
	if pause > 0 {
		a.Pause(time.Now(), pause)
		c.h.Log.Info().Str("request", c.id).Str("target", a.Target.ID).Dur("pause", pause).Msg("Target asked for a pause. It gets no requests of this host meanwhile.")
	}
}

// recordRateLimit records the rate of requests that a target takes, if it names one. A response
// that another target sends for it says nothing of it.
func (c *call) recordRateLimit(a *balance.Attempt, response *upstream.Response) {
	if response.Status == http.StatusMisdirectedRequest {
		return
	}
	value := response.Header.Get(c.h.Dialect.RateLimit)
	var limit float64
	if value != "" {
		var err error
		if limit, err = parseRateLimit(value); err != nil {
			c.h.logUnreadable(c.h.Dialect.RateLimit, a.Target.ID, err)
			return
		}
	}
	c.h.RateLimits.Observe(limitedTarget(a.Target), limit, value != "", c.lastAttemptAt, time.Now())
}

// parseRateLimit parses the requests per second that a target takes from all hosts
// together: a decimal number, which may be 0. A negative value, NaN, an infinite value and
// what is no number are errors.
func parseRateLimit(value string) (float64, error) {
	limit, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(limit) || math.IsInf(limit, 0) || limit < 0 {
		return 0, fmt.Errorf("%q is not a non-negative number of requests per second", value)
	}
	return limit, nil
}

// parseRetryAfter parses the time for which a target that has rejected a request with
// status 503 wants no others: a number of seconds, which may have a fraction. 0 asks for
// no pause. A value above balance.MaxPause is cut to it, as a target that sends one in
// error would otherwise stay without requests. A negative value, NaN and what is no number
// are errors.
func parseRetryAfter(value string) (time.Duration, error) {
	seconds, err := strconv.ParseFloat(value, 64)
	if math.IsInf(seconds, 1) {
		err = nil // also a number beyond the range of a float64
	}
	if err != nil || math.IsNaN(seconds) || seconds < 0 {
		return 0, fmt.Errorf("%q is not a non-negative number of seconds", value)
	}
	return time.Duration(min(seconds, balance.MaxPause.Seconds()) * float64(time.Second)), nil
}

// logUnreadable logs a header of a target that cannot be parsed and is ignored, once for
// each header.
func (h *Handler) logUnreadable(header, target string, err error) {
	if _, logged := h.unreadable.LoadOrStore(header, struct{}{}); !logged {
		h.Log.Warn().Str("target", target).Str("header", header).Err(err).Msg("Header of a target could not be parsed and is ignored. Further ones are not logged.")
	}
}
