package forward

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/peppertrail/peppertrail/pkg/balance"
	"github.com/peppertrail/peppertrail/pkg/upstream"
)

// hopByHop are headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// request returns the request for a target.
func (c *call) request(a *balance.Attempt) *upstream.Request {
	d := c.h.Dialect
	r := &upstream.Request{
		Method: c.r.Method, URI: c.r.RequestURI, Host: c.r.Host, Body: c.body,
		ID: c.id, EchoHeader: d.RequestID,
	}
	dropped := c.connectionOptions()
	for name, values := range c.r.Header {
		if c.isForwarded(name, dropped) {
			for _, value := range values {
				r.Fields = append(r.Fields, upstream.Field{Name: name, Value: value})
			}
		}
	}
	set := func(name, value string) { r.Fields = append(r.Fields, upstream.Field{Name: name, Value: value}) }
	if !c.deadline.IsZero() {
		set(d.Deadline, d.FormatDeadline(c.left(time.Now())))
	}
	set(d.ExpectTarget, a.Target.ID)
	if c.customer != nil {
		set(d.Customer, c.customer.Name)
	}
	if c.service.Engine != nil {
		set(d.Priority, d.FormatPriority(c.priority()))
	}
	if c.lastEvent != "" {
		set(d.LastEventID, c.lastEvent)
	} else if value := c.r.Header.Get(d.LastEventID); value != "" {
		set(d.LastEventID, value)
	}
	return r
}

// connectionOptions returns the headers that the caller binds to its connection.
func (c *call) connectionOptions() []string {
	var names []string
	for _, value := range c.r.Header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			names = append(names, strings.ToLower(strings.TrimSpace(name)))
		}
	}
	return names
}

func (c *call) isForwarded(name string, dropped []string) bool {
	d := c.h.Dialect
	switch name {
	case d.Deadline, d.Key, d.Customer, d.ExpectTarget, d.Priority, d.LastEventID:
		return false
	}
	return !slices.Contains(hopByHop, name) && !slices.Contains(d.Reserved, name) && !slices.Contains(dropped, strings.ToLower(name))
}

// spread returns d or up to half more, so that refused callers do not come
// back together.
func spread(d time.Duration) time.Duration { return d + rand.N(d/2) }
