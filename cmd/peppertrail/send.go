package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"

	"github.com/integrii/flaggy"

	"github.com/peppertrail/peppertrail/pkg/access"
	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// maxOutputTokens is the largest value of --max-tokens. The daemon applies the
// same limit.
const maxOutputTokens = 1 << 20

// sendFlags holds the flags of requests send.
type sendFlags struct {
	daemon         string
	keyFile        string
	model          string
	prompt         string
	maxTokens      string
	idempotencyKey string
	budget         string
	nonIdempotent  bool
}

func (a *app) registerSend(group *flaggy.Subcommand) {
	var f sendFlags
	sub := a.addCommand(group, "send", "send a chat completion through a daemon as a caller", func(ctx context.Context) error { return a.send(ctx, f) })
	sub.String(&f.daemon, "", "daemon", "URL of a daemon's caller listener (PEPPERTRAIL_DAEMON)")
	sub.String(&f.keyFile, "", "key-file", "file with the customer's API key, mode 0600 (PEPPERTRAIL_KEY_FILE)")
	sub.String(&f.model, "", "model", "model to ask")
	sub.String(&f.prompt, "", "prompt", "text of the user message")
	sub.String(&f.maxTokens, "", "max-tokens", "limit of the answer in tokens; without it the limit of the service")
	sub.String(&f.idempotencyKey, "", "idempotency-key", "key that makes a repetition safe")
	sub.String(&f.budget, "", "budget", "budget to charge; without it the customer's default")
	sub.Bool(&f.nonIdempotent, "", "non-idempotent", "run at most once; needs --idempotency-key")
}

// chatRequest is the body of a chat completion request.
type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int64         `json:"max_tokens,omitempty"`
	Stream    bool          `json:"stream"`
}

// chatMessage is one message of a chat completion request.
type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (a *app) send(ctx context.Context, f sendFlags) error {
	setDefault(&f.daemon, a.getenv("PEPPERTRAIL_DAEMON"))
	setDefault(&f.keyFile, a.getenv("PEPPERTRAIL_KEY_FILE"))
	request, err := f.request(ctx)
	if err != nil {
		return err
	}
	transport, err := a.settings.transport()
	if err != nil {
		return err
	}
	response, err := (&http.Client{Transport: transport}).Do(request)
	if err != nil {
		return newTransportRefusal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return parseRefusal(response)
	}
	answer, err := a.printStream(response.Body)
	if err != nil {
		return err
	}
	return a.printResult(answer, func() { fmt.Fprintln(a.stdout) })
}

// request checks the flags and builds the HTTP request.
func (f sendFlags) request(ctx context.Context) (*http.Request, error) {
	url, err := parseBaseURL("--daemon", f.daemon)
	if err != nil {
		return nil, err
	}
	if err := f.check(); err != nil {
		return nil, err
	}
	body, err := f.body()
	if err != nil {
		return nil, err
	}
	apiKey, err := access.ReadAPIKey(f.keyFile)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+apiKey)
	setNonEmptyHeader(request.Header, "Idempotency-Key", f.idempotencyKey)
	setNonEmptyHeader(request.Header, "X-Peppertrail-Budget", f.budget)
	if f.nonIdempotent {
		request.Header.Set("X-Peppertrail-Non-Idempotent", "true")
	}
	return request, nil
}

func (f sendFlags) check() error {
	if err := requireFlag("--key-file", f.keyFile, "a file with the customer's API key"); err != nil {
		return err
	}
	if err := requireFlag("--model", f.model, "a model of the bundle in force"); err != nil {
		return err
	}
	if err := requireFlag("--prompt", f.prompt, "the text of the message"); err != nil {
		return err
	}
	if f.nonIdempotent {
		return requireFlag("--idempotency-key", f.idempotencyKey, "a key of your own with --non-idempotent, or a repetition cannot be recognised")
	}
	return nil
}

func (f sendFlags) body() ([]byte, error) {
	chat := chatRequest{
		Model:    f.model,
		Messages: []chatMessage{{Role: "user", Content: f.prompt}},
		Stream:   true,
	}
	if f.maxTokens != "" {
		limit, err := parseInteger("--max-tokens", f.maxTokens, 1, maxOutputTokens)
		if err != nil {
			return nil, err
		}
		chat.MaxTokens = limit
	}
	return json.Marshal(chat)
}

func setNonEmptyHeader(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

// newTransportRefusal returns the refusal for a request that got no reply: not_run
// if no connection was made, may_have_run otherwise.
func newTransportRefusal(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &refusal{Verdict: verdict.NotRun, Message: err.Error()}
	}
	return &refusal{Verdict: verdict.MayHaveRun, Message: err.Error()}
}
