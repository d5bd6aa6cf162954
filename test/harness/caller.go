package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/peppertrail/peppertrail/pkg/standin/engine"
	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// maxReplyBytes is the maximum size of a non-streaming reply and of one line of a stream.
const maxReplyBytes = 1 << 20

// Caller sends requests to daemons and records the answers.
type Caller struct {
	fleet  *Fleet
	client *http.Client
}

// NewCaller returns a caller with its own connection pool.
func (f *Fleet) NewCaller() *Caller {
	transport := &http.Transport{}
	f.t.Cleanup(transport.CloseIdleConnections)
	return &Caller{fleet: f, client: &http.Client{Transport: transport}}
}

// Send sends a request once, without retries, and returns the recorded answer.
func (c *Caller) Send(ctx context.Context, d *Daemon, r Request) Answer {
	a := Answer{Request: r, Daemon: d.Name, Sent: time.Now()}
	a.Err = c.exchange(ctx, d, &a)
	a.Ended = time.Now()
	return a
}

func (c *Caller) exchange(ctx context.Context, d *Daemon, a *Answer) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, d.URL()+"/v1/chat/completions", bytes.NewReader(a.Request.Body()))
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	c.setHeaders(request.Header, a.Request)
	response, err := c.client.Do(request)
	if err != nil {
		return fmt.Errorf("send request: %w", err)
	}
	defer response.Body.Close()
	a.Status = response.StatusCode
	a.RequestID = response.Header.Get("X-Peppertrail-Request-Id")
	switch {
	case response.StatusCode != http.StatusOK:
		return a.readRefusal(response.Body)
	case a.Request.NonStreaming:
		return a.readCompletion(response.Body)
	default:
		return a.readStream(response.Body)
	}
}

func (c *Caller) setHeaders(h http.Header, r Request) {
	h.Set("Content-Type", "application/json")
	h.Set("Authorization", "Bearer "+c.fleet.APIKey(r.Customer))
	if r.Key != "" {
		h.Set("Idempotency-Key", r.Key)
	}
	if r.NonIdempotent {
		h.Set("X-Peppertrail-Non-Idempotent", "true")
	}
	if r.Deadline > 0 {
		h.Set("X-Peppertrail-Deadline-Ms", strconv.FormatInt(r.Deadline.Milliseconds(), 10))
	}
}

// refusal is the error part of a reply in JSON.
type refusal struct {
	Error *struct {
		Reason    verdict.Reason  `json:"reason"`
		Verdict   verdict.Verdict `json:"verdict"`
		RequestID string          `json:"request_id"`
	} `json:"error"`
}

// readRefusal reads the body of a reply with an error status.
func (a *Answer) readRefusal(body io.Reader) error {
	raw, err := io.ReadAll(io.LimitReader(body, maxReplyBytes))
	if err != nil {
		return fmt.Errorf("read refusal: %w", err)
	}
	var r refusal
	if err := json.Unmarshal(raw, &r); err != nil || r.Error == nil {
		return fmt.Errorf("reply with status %d has no refusal in its body: %q", a.Status, raw)
	}
	a.setRefusal(r)
	return nil
}

func (a *Answer) setRefusal(r refusal) {
	a.Verdict = r.Error.Verdict
	a.Reason = r.Error.Reason
	a.RequestID = r.Error.RequestID
}

// chatCompletion is the JSON body of a non-streaming answer.
type chatCompletion struct {
	ID      string `json:"id"`
	Choices []struct {
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
	} `json:"choices"`
	Usage *engine.Usage `json:"usage"`
}

// readCompletion reads a non-streaming answer.
func (a *Answer) readCompletion(body io.Reader) error {
	var completion chatCompletion
	if err := json.NewDecoder(io.LimitReader(body, maxReplyBytes)).Decode(&completion); err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	if len(completion.Choices) != 1 {
		return fmt.Errorf("answer has %d choices, want 1", len(completion.Choices))
	}
	a.Stream = completion.ID
	a.Text = completion.Choices[0].Message.Content
	a.Usage = completion.Usage
	a.Complete = true
	return nil
}
