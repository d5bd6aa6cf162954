package gateway

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/peppertrail/peppertrail/pkg/engine"
	"github.com/peppertrail/peppertrail/pkg/home"
	"gotest.tools/v3/assert"
)

func plainResponse() engine.Response {
	return engine.Response{
		Status: http.StatusAccepted,
		Header: http.Header{"Content-Type": {"text/plain"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}, "X-App": {"cantine"}},
		Body:   []byte("order\x00taken"),
	}
}

// Guards against a streamed response that is changed, truncated or not billed.
func TestStreamIsByteExact(t *testing.T) {
	f := newFixture(t)
	w := f.chat(streamBody, withIdempotencyKey)
	assert.Equal(t, w.Code, http.StatusOK)
	assert.Equal(t, w.Body.String(), sse(completionEvents("a", "b"))+"data: [DONE]\n\n")
	assert.Equal(t, w.Header().Get("Content-Type"), "text/event-stream")
	assert.Equal(t, w.Header().Get(requestIDHeader), testIdempotencyKey)
	billLine, ok := f.home.billLine(testIdempotencyKey)
	assert.Assert(t, ok)
	assert.Equal(t, billLine, home.SettleRequest{
		Customer: "regie", Budget: "regie-main", Request: testIdempotencyKey, Grant: "g1", Stream: "g1.1", Target: "t1", Entry: "h1-1",
		Outcome: home.Completed, Fingerprint: billLine.Fingerprint, Tokens: 4, UsageKnown: true, Final: true, Bound: 5 + 16 + 16 + 8,
	})
	f.drain(t)
}

// Guards against an unstreamed response that differs from the chunks it is assembled from.
func TestObjectResponse(t *testing.T) {
	f := newFixture(t)
	w := f.chat(chatBody)
	assert.Equal(t, w.Code, http.StatusOK)
	assert.Equal(t, w.Body.String(), `{"id":"c1","object":"chat.completion","created":7,"model":"chef",`+
		`"choices":[{"index":0,"message":{"role":"assistant","content":"ab"},"finish_reason":"stop"}],`+
		`"usage":{"prompt_tokens":2,"completion_tokens":2,"total_tokens":4}}`)
	assert.Assert(t, strings.HasPrefix(w.Header().Get(requestIDHeader), generatedIDPrefix))
	f.drain(t)
}

// Guards against a call to a plain service that loses its status, headers or bytes, or
// that forwards the customer's API key or a header of this API to the target.
func TestPlainCall(t *testing.T) {
	f := newFixture(t)
	req := newRequest(http.MethodPut, lookupPath+"/a%20b?day=1", "body", withHeader("X-App", "1"), withHeader("X-Fencing", "9"), withHeader(priorityHeader, "9"))
	w := f.do(req)
	assert.Equal(t, w.Code, http.StatusAccepted)
	assert.Equal(t, w.Body.String(), "order\x00taken")
	assert.Equal(t, w.Header().Get("X-App"), "cantine")
	assert.Equal(t, w.Header().Get("X-Hop"), "")
	call := f.engine.calls[0]
	assert.Equal(t, call.Method, http.MethodPut)
	assert.Equal(t, call.Path, "/menu/a%20b?day=1")
	assert.Equal(t, string(call.Body), "body")
	assert.Equal(t, call.Priority, 7, "priority is limited by the customer's MaxPriority")
	assert.Equal(t, call.Fencing, uint64(42))
	assert.Equal(t, call.Header.Get("Authorization"), "")
	assert.Equal(t, call.Header.Get("X-Fencing"), "")
	assert.Equal(t, call.Header.Get(priorityHeader), "")
	assert.Equal(t, call.Header.Get("X-App"), "1")
	settlements := f.home.settled()
	assert.Equal(t, len(settlements), 1)
	assert.Equal(t, settlements[0].Tokens, int64(5))
	f.drain(t)
}

// Guards against sending a target other values than those the bound was computed from.
func TestTargetBody(t *testing.T) {
	f := newFixture(t)
	body := `{"messages":[{"role":"system","content":[{"type":"text","text":"<b>"},{"type":"text","text":"é"}]}],"model":"chef","stop":["x"],"stream_options":{"include_usage":false}}`
	assert.Equal(t, f.chat(body).Code, http.StatusOK)
	want := `{"model":"chef","messages":[{"role":"system","content":"<b>é"}],"max_tokens":16,"stream":true,"stream_options":{"include_usage":true},"stop":["x"]}`
	assert.Equal(t, string(f.engine.calls[0].Body), want)
	assert.Assert(t, json.Valid(f.engine.calls[0].Body))
	assert.Equal(t, f.home.reservations[0].Bound, int64(5+16+16+16))
	f.drain(t)
}

// Guards against a target that exceeds the output limit, and so the reserved tokens.
func TestOutputLimitTruncatesStream(t *testing.T) {
	f := newFixture(t)
	f.engine.behaviors["t1"].events = completionEvents(strings.Split("0123456789", "")...)
	w := f.chat(streamBody, withIdempotencyKey)
	events := completionEvents(strings.Split("01234567", "")...)
	assert.Assert(t, strings.HasPrefix(w.Body.String(), sse(events[:8])))
	rest := strings.TrimPrefix(w.Body.String(), sse(events[:8]))
	assert.Equal(t, rest, `data: {"id":"c1","object":"chat.completion.chunk","created":7,"model":"chef","choices":[{"index":0,"delta":{},"finish_reason":"length"}],"usage":{"prompt_tokens":2,"completion_tokens":1,"total_tokens":3}}`+"\n\ndata: [DONE]\n\n")
	assert.DeepEqual(t, f.engine.cancelled, []string{"g1.1"})
	billLine, _ := f.home.billLine(testIdempotencyKey)
	assert.Equal(t, billLine.Tokens, int64(3))
	f.drain(t)
}

// Guards against charging more than was reserved when a target reports too many tokens.
func TestUsageAboveBoundIsClamped(t *testing.T) {
	f := newFixture(t)
	events := completionEvents("a")
	events[1].Usage = &engine.Usage{TotalTokens: 1 << 40}
	f.engine.behaviors["t1"].events = events
	f.chat(streamBody, withIdempotencyKey)
	billLine, _ := f.home.billLine(testIdempotencyKey)
	assert.Equal(t, billLine.Tokens, billLine.Bound)
	f.drain(t)
}

// Guards against a line break in the data that ends the event early.
func TestAppendDataKeepsLineBreaks(t *testing.T) {
	assert.Equal(t, string(appendData(nil, []byte("{\n}"))), "data: {\ndata: }\n\n")
}
