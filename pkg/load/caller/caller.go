// Package caller sends streamed requests and records their outcomes.
package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Outcome tells how a request ended.
type Outcome string

// Outcomes.
const (
	Completed Outcome = "completed" // the complete answer arrived
	Refused   Outcome = "refused"   // refused with a reason
	Broken    Outcome = "broken"    // the connection failed or ended early
)

// Result is the result of one attempt.
type Result struct {
	Outcome    Outcome
	Reason     string // refusal reason; after a broken connection: "connection", "stream" or the error text of an invalid request
	Verdict    string // verdict of a refusal
	Sent       time.Time
	FirstToken time.Duration // time from Sent to the first token; 0 if none arrived
	Ended      time.Time
}

// Caller sends requests. It is safe for concurrent use.
type Caller struct {
	http *http.Client
}

// maxIdleConnectionsPerServer is the limit of idle connections per daemon or engine.
// It is high because an open-loop load sends many requests concurrently.
const maxIdleConnectionsPerServer = 512

// New returns a caller with its own connection pool.
func New() *Caller {
	return &Caller{http: &http.Client{Transport: &http.Transport{
		MaxIdleConns: 0, MaxIdleConnsPerHost: maxIdleConnectionsPerServer, DisableCompression: true,
	}}}
}

// Close closes the idle connections.
func (c *Caller) Close() { c.http.CloseIdleConnections() }

// Model is the model name in all requests.
const Model = "bench"

// chatBody is a request body of the OpenAI chat completions API.
type chatBody struct {
	Model     string    `json:"model"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
	Messages  []message `json:"messages"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Body returns a streaming chat request for at most maxTokens tokens.
func Body(prompt string, maxTokens int) []byte {
	body, err := json.Marshal(chatBody{Model: Model, Stream: true, MaxTokens: maxTokens, Messages: []message{{Role: "user", Content: prompt}}})
	if err != nil {
		panic("caller: encode request body: " + err.Error())
	}
	return body
}

// Send posts body to the chat completions path below base and reads the answer to
// its end.
func (c *Caller) Send(ctx context.Context, base string, header http.Header, body []byte) (r Result) {
	r = Result{Sent: time.Now(), Outcome: Broken}
	defer func() { r.Ended = time.Now() }()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		r.Reason = err.Error()
		return r
	}
	req.Header = header
	response, err := c.http.Do(req)
	if err != nil {
		r.Reason = "connection"
		return r
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		r.recordRefusal(response.Body, response.StatusCode)
	} else {
		r.readStream(response.Body)
	}
	return r
}

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Error struct {
		Reason  string `json:"reason"`
		Verdict string `json:"verdict"`
	} `json:"error"`
}

func (r *Result) recordRefusal(body io.Reader, status int) {
	raw, _ := io.ReadAll(body) // a truncated body gives the reason status_N below
	var e refusalBody
	if json.Unmarshal(raw, &e) != nil || e.Error.Reason == "" {
		e.Error.Reason = fmt.Sprintf("status_%d", status)
	}
	r.Outcome, r.Reason, r.Verdict = Refused, e.Error.Reason, e.Error.Verdict
}

// readStream reads the events of a stream until its last event or an error.
func (r *Result) readStream(body io.Reader) {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !ok:
			continue
		case data == "[DONE]":
			r.Outcome = Completed
			return
		case strings.HasPrefix(data, `{"error"`):
			r.recordRefusal(strings.NewReader(data), http.StatusOK)
			return
		case r.FirstToken == 0:
			r.FirstToken = time.Since(r.Sent)
		}
	}
	r.Reason = "stream"
}
