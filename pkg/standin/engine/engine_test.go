package engine

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/peppertrail/peppertrail/pkg/target"
)

// testOptions returns the options of a fast engine without lags.
func testOptions() Options {
	return Options{
		Kind:        target.JSONStatus,
		Slots:       2,
		TokenTime:   time.Millisecond,
		CacheBlocks: 8,
		Retention:   time.Minute,
	}
}

// fixture is an engine behind an HTTP server.
type fixture struct {
	t      *testing.T
	engine *Engine
	url    string
}

// start runs an engine for the duration of a test.
func start(t *testing.T, o Options) fixture {
	e, err := New(o)
	assert.NilError(t, err)
	srv := httptest.NewServer(e.Handler())
	t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
		assert.NilError(t, e.Close())
	})
	return fixture{t: t, engine: e, url: srv.URL}
}

// do sends a request and returns the status and the complete body.
func (f fixture) do(method, path, body string, headers ...string) (int, string) {
	resp := f.open(method, path, body, headers...)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	assert.NilError(f.t, err)
	return resp.StatusCode, string(data)
}

// open sends a request and returns the response with its open body. headers are
// name, value pairs.
func (f fixture) open(method, path, body string, headers ...string) *http.Response {
	req, err := http.NewRequest(method, f.url+path, strings.NewReader(body))
	assert.NilError(f.t, err)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(f.t, err)
	return resp
}

// complete requests a stream and reads it to its end.
func (f fixture) complete(id, body string, headers ...string) (int, string) {
	return f.do(http.MethodPost, "/v1/chat/completions", body, append(headers, headerStream, id)...)
}

// waitForOutcome waits until a stream has the given outcome.
func (f fixture) waitForOutcome(id string, want Outcome) Record {
	f.t.Helper()
	var found Record
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		for _, r := range f.engine.Journal() {
			if r.Stream == id && r.Outcome == want {
				found = r
				return poll.Success()
			}
		}
		return poll.Continue("stream %s does not have outcome %s yet", id, want)
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(5*time.Second))
	return found
}

// request returns a body with one message and a length hint.
func request(content string, tokens int) string {
	return fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":%q}],"metadata":{"x_tokens":"%d"}}`, content, tokens)
}

// parseEvents returns the text, the event ids and the usage of a stream body, and
// whether the body contains the done marker.
func parseEvents(t *testing.T, body string) (text string, ids []string, usage *Usage, done bool) {
	lines := bufio.NewScanner(strings.NewReader(body))
	for lines.Scan() {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			ids = append(ids, id)
		}
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == doneMarker {
			done = true
			continue
		}
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
			Usage   *Usage
		}
		assert.NilError(t, json.Unmarshal([]byte(data), &chunk))
		text += chunk.Choices[0].Delta.Content
		usage = chunk.Usage
	}
	return text, ids, usage, done
}

// Guards against responses that cannot be attributed to their request, or that lack
// the usage or the done marker.
func TestCompletionIsDeterministicAndComplete(t *testing.T) {
	f := start(t, testOptions())
	body := request("hello", 5)
	status, answer := f.complete("s.1", body)
	assert.Equal(t, status, http.StatusOK)
	text, ids, usage, done := parseEvents(t, answer)
	want, err := CompletionText("s.1", []byte(body))
	assert.NilError(t, err)
	assert.Equal(t, text, want)
	prompt, err := ParsePrompt([]byte(body))
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(text, prompt.Digest))
	assert.DeepEqual(t, ids, []string{"0", "1", "2", "3", "4", "5", "6"})
	assert.DeepEqual(t, usage, &Usage{PromptTokens: 5, CompletionTokens: 5, TotalTokens: 10})
	assert.Assert(t, done)
}

// Guards against wrong token counts: budgets are charged by them.
func TestPromptAndCompletionTokens(t *testing.T) {
	for _, c := range []struct {
		body                           string
		promptTokens, completionTokens int
	}{
		{`{"messages":[{"role":"user","content":"12345"},{"role":"user","content":"678"}]}`, 2 + 6, 32},
		{`{"messages":[{"role":"user","content":"123456789"}],"max_tokens":7}`, 3 + 3, 7},
		{`{"messages":[{"role":"user","content":""}],"max_tokens":700}`, 3, 32},
		{`{"messages":[{"role":"user","content":[{"type":"text","text":"1234"}]}],"max_completion_tokens":3}`, 1 + 3, 3},
		{`{"messages":[{"role":"user","content":"1"}],"max_tokens":7,"metadata":{"x_tokens":"90"}}`, 1 + 3, 90},
		{`{"messages":[{"role":"user","content":"1"}],"x_tokens":2}`, 1 + 3, 2},
	} {
		p, err := ParsePrompt([]byte(c.body))
		assert.NilError(t, err)
		assert.Equal(t, p.Tokens, c.promptTokens, c.body)
		assert.Equal(t, p.CompletionTokens, c.completionTokens, c.body)
	}
}

// Guards against a stream id that runs twice, even after the ended stream has expired.
func TestRepeatedStreamIsRefused(t *testing.T) {
	o := testOptions()
	o.Retention = 0
	f := start(t, o)
	status, _ := f.complete("s", request("a", 1))
	assert.Equal(t, status, http.StatusOK)
	status, answer := f.complete("s", request("a", 1))
	assert.Equal(t, status, http.StatusConflict)
	assert.Assert(t, strings.Contains(answer, CodeStreamExists))
	assert.Equal(t, len(f.engine.Journal()), 1)
}

// Guards against malformed requests that run or use up their stream id.
func TestBadRequestsAreRefused(t *testing.T) {
	f := start(t, testOptions())
	status, _ := f.do(http.MethodPost, "/v1/chat/completions", request("a", 1))
	assert.Equal(t, status, http.StatusBadRequest)
	status, _ = f.complete("s", "{")
	assert.Equal(t, status, http.StatusBadRequest)
	status, _ = f.complete("s", `{"messages":[]}`)
	assert.Equal(t, status, http.StatusBadRequest)
	status, _ = f.complete("s", request("a", 1), headerPriority, "10")
	assert.Equal(t, status, http.StatusBadRequest)
	assert.Equal(t, len(f.engine.Journal()), 0)
	status, _ = f.complete("s", request("a", 1))
	assert.Equal(t, status, http.StatusOK)
}

// Guards against a stream that ends when its client disconnects, and against a
// resumed stream that differs from the original.
func TestStreamSurvivesDisconnectAndResumes(t *testing.T) {
	f := start(t, testOptions())
	body := request("hello", 50)
	resp := f.open(http.MethodPost, "/v1/chat/completions", body, headerStream, "s/1 +")
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.NilError(t, resp.Body.Close())
	f.waitForOutcome("s/1 +", Completed)
	status, whole := f.do(http.MethodGet, "/v1/streams/s%2F1%20%2B", "")
	assert.Equal(t, status, http.StatusOK)
	text, _, _, done := parseEvents(t, whole)
	want, err := CompletionText("s/1 +", []byte(body))
	assert.NilError(t, err)
	assert.Equal(t, text, want)
	assert.Assert(t, done)
	status, part := f.do(http.MethodGet, "/v1/streams/s%2F1%20%2B?from=30", "")
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, strings.HasPrefix(part, "id: 30\n"))
	assert.Assert(t, strings.HasSuffix(whole, part))
	status, _ = f.do(http.MethodGet, "/v1/streams/s%2F1%20%2B?from=52", "")
	assert.Equal(t, status, http.StatusBadRequest)
}

// Guards against a reader of a running stream that misses events.
func TestResumeOfRunningStream(t *testing.T) {
	f := start(t, testOptions())
	body := request("hello", 40)
	resp := f.open(http.MethodPost, "/v1/chat/completions", body, headerStream, "s")
	defer resp.Body.Close()
	_, resumed := f.do(http.MethodGet, "/v1/streams/s?from=0", "")
	original, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, resumed, string(original))
}

// Guards against a successful response for an unknown or expired stream.
func TestUnknownStream(t *testing.T) {
	o := testOptions()
	o.Retention = 0
	f := start(t, o)
	f.complete("s", request("a", 1))
	for _, method := range []string{http.MethodGet, http.MethodDelete} {
		for _, id := range []string{"s", "never"} {
			status, _ := f.do(method, "/v1/streams/"+id, "")
			assert.Equal(t, status, http.StatusNotFound, "%s %s", method, id)
		}
	}
}

// Guards against a cancelled stream that keeps running, ends as completed or reports
// a wrong usage.
func TestCancel(t *testing.T) {
	f := start(t, testOptions())
	resp := f.open(http.MethodPost, "/v1/chat/completions", request("hello", 100000), headerStream, "s")
	defer resp.Body.Close()
	_, err := io.ReadFull(resp.Body, make([]byte, 10)) // the first token has been sent
	assert.NilError(t, err)
	status, answer := f.do(http.MethodDelete, "/v1/streams/s", "")
	assert.Equal(t, status, http.StatusOK)
	var usage Usage
	assert.NilError(t, json.Unmarshal([]byte(answer), &usage))
	assert.Equal(t, usage.PromptTokens, 5)
	assert.Assert(t, usage.CompletionTokens > 0)
	assert.Equal(t, usage.TotalTokens, 5+usage.CompletionTokens)
	record := f.waitForOutcome("s", Cancelled)
	assert.Equal(t, record.CompletionTokens, usage.CompletionTokens)
	rest, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	_, _, _, done := parseEvents(t, string(rest))
	assert.Assert(t, !done)
	_, again := f.do(http.MethodDelete, "/v1/streams/s", "")
	assert.Equal(t, again, answer)
	status, _ = f.do(http.MethodGet, "/v1/streams/s", "")
	assert.Equal(t, status, http.StatusGone)
}

// Guards against a stream that is cancelled while queued and is still charged or run.
func TestCancelQueued(t *testing.T) {
	o := testOptions()
	o.Slots = 1
	f := start(t, o)
	first := f.open(http.MethodPost, "/v1/chat/completions", request("a", 100000), headerStream, "first")
	defer first.Body.Close()
	second := f.open(http.MethodPost, "/v1/chat/completions", request("a", 5), headerStream, "second")
	defer second.Body.Close()
	_, answer := f.do(http.MethodDelete, "/v1/streams/second", "")
	assert.Equal(t, strings.TrimSpace(answer), `{"prompt_tokens":0,"completion_tokens":0,"total_tokens":0}`)
	f.do(http.MethodDelete, "/v1/streams/first", "")
	record := f.waitForOutcome("second", Cancelled)
	assert.Assert(t, record.Started == nil)
}

// Guards against a queue that ignores the priority or the order of arrival, or that
// exceeds its limit.
func TestQueueOrder(t *testing.T) {
	o := testOptions()
	o.Slots = 1
	o.MaxQueue = 3
	f := start(t, o)
	add := func(id, priority string) int {
		resp := f.open(http.MethodPost, "/v1/chat/completions", request("a", 20), headerStream, id, headerPriority, priority)
		t.Cleanup(func() { resp.Body.Close() })
		return resp.StatusCode
	}
	long := f.open(http.MethodPost, "/v1/chat/completions", request("a", 100000), headerStream, "long")
	defer long.Body.Close()
	assert.Equal(t, add("low", "1"), http.StatusOK)
	assert.Equal(t, add("high", "9"), http.StatusOK)
	assert.Equal(t, add("high2", "9"), http.StatusOK)
	assert.Equal(t, add("refused", "9"), http.StatusTooManyRequests)
	f.do(http.MethodDelete, "/v1/streams/long", "")
	low := f.waitForOutcome("low", Completed)
	high, high2 := f.waitForOutcome("high", Completed), f.waitForOutcome("high2", Completed)
	assert.Assert(t, high.Started.Before(*high2.Started))
	assert.Assert(t, high2.Started.Before(*low.Started))
}

// Guards against a fencing check that does not follow Options.CheckFencing, and against
// a repeated stream id that is refused as stale fencing, which would mean that the
// stream did not run.
func TestFencing(t *testing.T) {
	o := testOptions()
	o.CheckFencing = true
	f := start(t, o)
	status, _ := f.complete("a", request("a", 1), headerFencing, "7")
	assert.Equal(t, status, http.StatusOK)
	status, answer := f.complete("b", request("a", 1), headerFencing, "6")
	assert.Equal(t, status, http.StatusConflict)
	assert.Equal(t, strings.TrimSpace(answer), `{"error":"stale fencing number"}`)
	_, answer = f.complete("a", request("a", 1), headerFencing, "6")
	assert.Assert(t, strings.Contains(answer, CodeStreamExists), "repeated stream id with a stale fencing number: want code stream_exists, which says that the stream ran, got %s", answer)
	unchecked := start(t, testOptions())
	unchecked.complete("a", request("a", 1), headerFencing, "7")
	status, _ = unchecked.complete("b", request("a", 1), headerFencing, "6")
	assert.Equal(t, status, http.StatusOK)
}

// Guards against a drain that aborts running streams, accepts new ones or is missing
// from the status report.
func TestDrain(t *testing.T) {
	o := testOptions()
	o.TokenTime = 10 * time.Millisecond // the stream outlasts the requests below
	f := start(t, o)
	resp := f.open(http.MethodPost, "/v1/chat/completions", request("a", 50), headerStream, "s")
	defer resp.Body.Close()
	status, _ := f.do(http.MethodPost, "/drain", "")
	assert.Equal(t, status, http.StatusNoContent)
	status, _ = f.complete("new", request("a", 1))
	assert.Equal(t, status, http.StatusServiceUnavailable)
	_, report := f.do(http.MethodGet, "/status", "")
	assert.Equal(t, strings.TrimSpace(report), `{"state":"DRAINING","slots_total":2,"slots_busy":1,"queue_depth":0,"kv_used":`+kvUsed(t, report)+`,"fencing":0}`)
	f.engine.Wait()
	rest, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	_, _, _, done := parseEvents(t, string(rest))
	assert.Assert(t, done)
}

// kvUsed returns the digits of kv_used, which depend on the progress of the stream.
func kvUsed(t *testing.T, report string) string {
	var r Report
	assert.NilError(t, json.Unmarshal([]byte(report), &r))
	assert.Assert(t, r.KVUsed > 0 && r.KVUsed <= 1)
	digits, err := json.Marshal(r.KVUsed)
	assert.NilError(t, err)
	return string(digits)
}

// Guards against a Prometheus report that lacks a metric.
func TestPrometheusReport(t *testing.T) {
	o := testOptions()
	o.Kind = target.PromText
	f := start(t, o)
	f.engine.Drain()
	_, text := f.do(http.MethodGet, "/metrics", "")
	for _, line := range []string{
		"num_requests_running 0", "num_requests_waiting 0", "max_num_seqs 2", "kv_cache_usage_perc 0", "engine_draining 1",
	} {
		assert.Assert(t, strings.Contains(text, "\n"+line+"\n"), "%s in %s", line, text)
	}
	status, _ := f.do(http.MethodGet, "/status", "")
	assert.Equal(t, status, http.StatusNotFound)
}

// Guards against a report of a state more recent than the configured lag ago.
func TestReportsLag(t *testing.T) {
	l := reportLog{lag: time.Second}
	t0 := time.Now()
	l.add(t0, Report{State: Serving})
	l.add(t0.Add(time.Second), Report{State: Serving, SlotsBusy: 1})
	assert.Equal(t, l.delayed(t0.Add(2*time.Second-1)).SlotsBusy, 0)
	l.add(t0.Add(2*time.Second), Report{State: Draining})
	assert.Equal(t, l.delayed(t0.Add(2*time.Second)).SlotsBusy, 1)
	assert.Equal(t, l.delayed(t0.Add(3*time.Second-1)).State, Serving)
	assert.Equal(t, l.delayed(t0.Add(3*time.Second)).State, Draining)
}

// Guards against an engine that accepts streams before its model is loaded.
func TestLoading(t *testing.T) {
	o := testOptions()
	o.LoadTime = time.Hour
	f := start(t, o)
	status, _ := f.complete("s", request("a", 1))
	assert.Equal(t, status, http.StatusServiceUnavailable)
	_, report := f.do(http.MethodGet, "/status", "")
	assert.Assert(t, strings.Contains(report, `"state":"LOADING"`), report)
}

// Guards against a prefix cache that exceeds its limit or evicts the wrong block, and
// against cache events that are published before the lag has passed or not dropped.
func TestCacheHitsAndEvicts(t *testing.T) {
	clock := time.Now()
	events := &cacheLog{lag: time.Second, gap: 4, now: func() time.Time { return clock }}
	c := newCache(2, events)
	block := strings.Repeat("a", blockBytes)
	assert.Equal(t, c.lookUpAndStore(block+block+"rest"), 0)
	assert.Equal(t, c.lookUpAndStore(block+block), 2*BlockTokens)
	assert.Equal(t, c.lookUpAndStore(block+strings.Repeat("b", blockBytes)), BlockTokens)
	assert.Equal(t, c.lookUpAndStore(block+block), BlockTokens)
	assert.Equal(t, c.order.Len(), 2)
	assert.Equal(t, len(events.after(0).Events), 0) // not published yet
	clock = clock.Add(time.Second)
	var seqs []int
	for _, e := range events.after(1).Events {
		seqs = append(seqs, e.Seq)
	}
	assert.DeepEqual(t, seqs, []int{2, 3, 5, 6}) // event 4 is dropped as a gap
}

// Guards against prefill time that ignores the cached prefix of a prompt.
func TestPrefillUsesCache(t *testing.T) {
	o := testOptions()
	o.PrefillTime = time.Hour
	o.TokenTime = 0
	f := start(t, o)
	content := strings.Repeat("a", 4*blockBytes)
	f.engine.mu.Lock()
	f.engine.cache.lookUpAndStore(content)
	f.engine.mu.Unlock()
	resp := f.open(http.MethodPost, "/v1/chat/completions", request(content, 1), headerStream, "s")
	defer resp.Body.Close()
	f.engine.mu.Lock()
	defer f.engine.mu.Unlock()
	prefill := time.Duration(f.engine.streams["s"].firstStep - f.engine.step(f.engine.streams["s"].started))
	assert.Assert(t, prefill >= tokensPerMessage*time.Hour && prefill < (tokensPerMessage+1)*time.Hour, "%s", prefill)
}

// Guards against a cache event endpoint that ignores its after parameter or whose
// response does not match CacheEvents.
func TestCacheEvents(t *testing.T) {
	f := start(t, testOptions())
	f.complete("s", request(strings.Repeat("a", 2*blockBytes), 1))
	_, answer := f.do(http.MethodGet, "/v1/cache/events?after=1", "")
	var events CacheEvents
	assert.NilError(t, json.Unmarshal([]byte(answer), &events))
	assert.Equal(t, len(events.Events), 1)
	assert.Equal(t, events.Events[0].Seq, 2)
	assert.Equal(t, events.Events[0].Type, BlockStored)
}

// Guards against a crash marker that lets the stream complete, exits twice or leaves
// the journal without the tokens generated before the crash.
func TestCrashMarker(t *testing.T) {
	for _, tokens := range []int{1, 2, 3, 4, 50} {
		var exitStatusSum atomic.Int32 // equals CrashStatus after exactly one exit
		o := testOptions()
		o.CrashMarker = "BOOM"
		o.Journal = filepath.Join(t.TempDir(), "journal")
		o.Exit = func(status int) { exitStatusSum.Add(int32(status)) }
		f := start(t, o)
		resp := f.open(http.MethodPost, "/v1/chat/completions", request("a BOOM b", tokens), headerStream, "s")
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if exitStatusSum.Load() == 0 {
				return poll.Continue("the engine has not called Exit yet")
			}
			return poll.Success()
		}, poll.WithDelay(time.Millisecond), poll.WithTimeout(5*time.Second))
		resp.Body.Close()
		assert.Equal(t, exitStatusSum.Load(), int32(CrashStatus))
		last := lastRecord(t, o.Journal)
		assert.Equal(t, last.Outcome, Running)
		assert.Equal(t, last.CompletionTokens, min(maxCrashTokens, tokens-1))
	}
}

// Guards against a journal file without a record of the start or the end of a stream, and
// against a journal that loses more than 16 tokens of a stream because its progress is not
// recorded.
func TestJournalFile(t *testing.T) {
	o := testOptions()
	o.Journal = filepath.Join(t.TempDir(), "journal")
	f := start(t, o)
	f.complete("s", request("a", 60))
	data, err := os.ReadFile(o.Journal)
	assert.NilError(t, err)
	lastTokens := 0
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	for _, line := range lines {
		var r Record
		assert.NilError(t, json.Unmarshal([]byte(line), &r))
		assert.Assert(t, r.Started != nil)
		lastTokens = r.CompletionTokens
	}
	assert.Equal(t, lastTokens, 60)
	assert.Assert(t, len(lines) >= 3, "%d lines", len(lines))
	assert.Equal(t, lastRecord(t, o.Journal).Outcome, Completed)
}

// lastRecord returns the last record of a journal file.
func lastRecord(t *testing.T, path string) Record {
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	var r Record
	assert.NilError(t, json.Unmarshal([]byte(lines[len(lines)-1]), &r))
	return r
}

// Guards against out-of-range settings that are accepted and fail only later.
func TestOptionsAreValidated(t *testing.T) {
	for _, change := range []func(*Options){
		func(o *Options) { o.Kind = target.Service },
		func(o *Options) { o.Slots = 0 },
		func(o *Options) { o.CacheBlocks = 0 },
		func(o *Options) { o.MaxQueue = -1 },
		func(o *Options) { o.ReportLag = -1 },
	} {
		o := testOptions()
		change(&o)
		_, err := New(o)
		assert.Assert(t, err != nil)
	}
}
