package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/peppertrail/peppertrail/pkg/standin/service"
	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// Call is a request to the plain service.
type Call struct {
	Customer      string
	Key           string // Idempotency-Key; empty: none
	Path          string // path within the service, with a leading slash
	Body          string // must be unique in a test, because its digest identifies the call in the journals
	NonIdempotent bool   // sends the non-idempotent header; the bundle may also mark the path
}

// CallAnswer is the record of one send attempt of a call.
type CallAnswer struct {
	Call    Call
	Daemon  string
	Sent    time.Time
	Ended   time.Time
	Status  int           // HTTP status; 0: no reply received
	Echo    *service.Echo // answer of the plain service: method, path, body digest and stream id; nil: no complete answer received
	Verdict verdict.Verdict
	Reason  verdict.Reason
	Err     error // connection error or malformed reply
}

// Call sends a call once, without retries, and returns the recorded answer.
func (c *Caller) Call(ctx context.Context, d *Daemon, call Call) CallAnswer {
	a := CallAnswer{Call: call, Daemon: d.Name, Sent: time.Now()}
	a.Err = c.exchangeCall(ctx, d, &a)
	a.Ended = time.Now()
	return a
}

func (c *Caller) exchangeCall(ctx context.Context, d *Daemon, a *CallAnswer) error {
	url := d.URL() + "/v1/services/" + PlainService + a.Call.Path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(a.Call.Body))
	if err != nil {
		return fmt.Errorf("build call: %w", err)
	}
	c.setHeaders(request.Header, Request{Customer: a.Call.Customer, Key: a.Call.Key, NonIdempotent: a.Call.NonIdempotent})
	response, err := c.client.Do(request)
	if err != nil {
		return fmt.Errorf("send call: %w", err)
	}
	defer response.Body.Close()
	a.Status = response.StatusCode
	if response.StatusCode != http.StatusOK {
		return a.readRefusal(response.Body)
	}
	var echo service.Echo
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(&echo); err != nil {
		return fmt.Errorf("decode answer of the plain service: %w", err)
	}
	a.Echo = &echo
	return nil
}

// readRefusal reads the body of a reply with an error status.
func (a *CallAnswer) readRefusal(body io.Reader) error {
	refused := Answer{Status: a.Status}
	if err := refused.readRefusal(body); err != nil {
		return err
	}
	a.Verdict, a.Reason = refused.Verdict, refused.Reason
	return nil
}
