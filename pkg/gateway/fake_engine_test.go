package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/peppertrail/peppertrail/pkg/engine"
	"github.com/peppertrail/peppertrail/pkg/target"
	"github.com/peppertrail/peppertrail/pkg/verdict"
)

var errReset = errors.New("connection reset")

// behavior is the scripted behavior of one target.
type behavior struct {
	openErr          error          // error returned by Open and Do
	runsDespiteError bool           // whether the target runs the request although openErr is returned
	events           []engine.Event // response to a completion
	breaks           []int          // index of the event before which the nth connection of a stream breaks; connections past the end do not break
	breakErr         error          // error returned by a break; if nil, errReset with TargetDown and MayHaveRun
	overlap          int            // number of events that a resume sends again
	dropsStreams     bool           // whether the target no longer knows a stream after a break
	gate             chan struct{}  // if set, event gateIndex and plain calls wait until it is closed
	gateIndex        int
	delay            time.Duration   // delay before Open returns and before each event
	plainResponse    engine.Response // response to a call of a plain service
}

// fakeEngine is an engine.Client that simulates targets.
type fakeEngine struct {
	mu          sync.Mutex
	behaviors   map[string]*behavior // by target id
	streams     map[string]*streamState
	received    []string // "<target> <stream>" for each dispatch that reached a target
	calls       []engine.Call
	resumes     int
	resume      func(context.Context) error // if set, Resume returns its error
	cancelled   []string                    // ids of the cancelled streams
	gateReached chan struct{}               // receives a value when a stream or call starts waiting at its gate
}

// streamState is the state of a stream at its target.
type streamState struct {
	target      string
	connections int  // number of connections opened so far
	dropped     bool // the target no longer knows the stream
	cancelled   bool
}

func newFakeEngine() *fakeEngine {
	return &fakeEngine{behaviors: make(map[string]*behavior), streams: make(map[string]*streamState), gateReached: make(chan struct{}, 64)}
}

func (e *fakeEngine) dispatches() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.received)
}

func (e *fakeEngine) receive(call engine.Call) (*behavior, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.behaviors[call.Target.ID]
	if b == nil {
		b = &behavior{events: completionEvents("a", "b")}
		e.behaviors[call.Target.ID] = b
	}
	if b.openErr != nil && !b.runsDespiteError {
		var failed *engine.Error
		if !errors.As(b.openErr, &failed) || failed.Verdict != verdict.NotRun {
			e.received = append(e.received, call.Target.ID+" "+call.Stream)
		}
		return nil, b.openErr
	}
	e.calls = append(e.calls, call)
	e.received = append(e.received, call.Target.ID+" "+call.Stream)
	e.streams[call.Stream] = &streamState{target: call.Target.ID}
	return b, b.openErr
}

func (e *fakeEngine) Open(ctx context.Context, call engine.Call) (engine.Stream, error) {
	if _, err := e.receive(call); err != nil {
		return nil, err
	}
	time.Sleep(e.behaviors[call.Target.ID].delay)
	return e.connect(ctx, call.Target.ID, call.Stream, 0)
}

func (e *fakeEngine) Resume(ctx context.Context, t target.Target, stream string, from int) (engine.Stream, error) {
	e.mu.Lock()
	e.resumes++
	respond := e.resume
	e.mu.Unlock()
	if respond != nil {
		return nil, respond(ctx)
	}
	return e.connect(ctx, t.ID, stream, from)
}

func (e *fakeEngine) connect(ctx context.Context, id, stream string, from int) (engine.Stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	state, ok := e.streams[stream]
	if !ok || state.dropped || state.target != id {
		return nil, fmt.Errorf("target %s: %w", id, engine.ErrUnknownStream)
	}
	b := e.behaviors[id]
	s := &fakeStream{engine: e, ctx: ctx, behavior: b, state: state, nextIndex: max(0, from-b.overlap), breakAt: -1}
	if state.connections < len(b.breaks) {
		s.breakAt = b.breaks[state.connections]
	}
	state.connections++
	return s, nil
}

func (e *fakeEngine) Cancel(_ context.Context, _ target.Target, stream string) (engine.Usage, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelled = append(e.cancelled, stream)
	state, ok := e.streams[stream]
	if !ok || state.dropped {
		return engine.Usage{}, engine.ErrUnknownStream
	}
	state.cancelled = true
	return engine.Usage{PromptTokens: 2, CompletionTokens: 1, TotalTokens: 3}, nil
}

func (e *fakeEngine) Do(ctx context.Context, call engine.Call) (engine.Response, error) {
	b, err := e.receive(call)
	if err != nil {
		return engine.Response{}, err
	}
	if b.gate != nil {
		e.gateReached <- struct{}{}
		select {
		case <-b.gate:
		case <-ctx.Done():
			return engine.Response{}, ctx.Err()
		}
	}
	return b.plainResponse, nil
}

// fakeStream is one connection to a stream.
type fakeStream struct {
	engine    *fakeEngine
	ctx       context.Context
	behavior  *behavior
	state     *streamState
	nextIndex int // index of the next event
	breakAt   int // index of the event before which the connection breaks; -1 if it does not break
}

func (s *fakeStream) Next() (engine.Event, error) {
	time.Sleep(s.behavior.delay)
	if s.behavior.gate != nil && s.nextIndex == s.behavior.gateIndex {
		s.engine.gateReached <- struct{}{}
		select {
		case <-s.behavior.gate:
		case <-s.ctx.Done():
		}
	}
	if err := s.ctx.Err(); err != nil {
		return engine.Event{}, &engine.Error{Verdict: verdict.MayHaveRun, TargetDown: true, Err: err}
	}
	if s.engine.isCancelled(s.state) {
		return engine.Event{}, &engine.Error{Verdict: verdict.MayHaveRun, Err: errors.New("stream cancelled")}
	}
	if s.nextIndex == s.breakAt {
		return engine.Event{}, s.breakConnection()
	}
	if s.nextIndex >= len(s.behavior.events) {
		return engine.Event{}, io.EOF
	}
	ev := s.behavior.events[s.nextIndex]
	s.nextIndex++
	return ev, nil
}

func (e *fakeEngine) isCancelled(state *streamState) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return state.cancelled
}

// breakConnection returns the error of a broken connection. The target no longer knows the
// stream afterwards if dropsStreams is set.
func (s *fakeStream) breakConnection() error {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	s.state.dropped = s.state.dropped || s.behavior.dropsStreams
	if s.behavior.breakErr != nil {
		return s.behavior.breakErr
	}
	return &engine.Error{Verdict: verdict.MayHaveRun, TargetDown: true, Err: errReset}
}

func (s *fakeStream) Close() error { return nil }

// completionEvents returns the events of a completion: one token per text, then a last event with
// the usage.
func completionEvents(texts ...string) []engine.Event {
	var events []engine.Event
	for i, text := range texts {
		data := fmt.Sprintf(`{"id":"c1","object":"chat.completion.chunk","created":7,"model":"chef","choices":[{"index":0,"delta":{"content":%q},"finish_reason":null}]}`, text)
		events = append(events, engine.Event{Index: i, Data: []byte(data), Tokens: 1})
	}
	n := int64(len(texts))
	usage := &engine.Usage{PromptTokens: 2, CompletionTokens: n, TotalTokens: n + 2}
	data := fmt.Sprintf(`{"id":"c1","object":"chat.completion.chunk","created":7,"model":"chef","choices":[{"index":0,"delta":{},"finish_reason":"stop"}],"usage":{"prompt_tokens":2,"completion_tokens":%d,"total_tokens":%d}}`, n, n+2)
	return append(events, engine.Event{Index: len(texts), Data: []byte(data), Usage: usage, Done: true})
}

// sse returns the server-sent events that a caller receives for events.
func sse(events []engine.Event) string {
	var text string
	for _, ev := range events {
		text += "data: " + string(ev.Data) + "\n\n"
	}
	return text
}

// notRun returns an error of a target that failed before it ran the request.
func notRun(err error) error {
	return &engine.Error{Verdict: verdict.NotRun, TargetDown: true, Err: err}
}

// mayHaveRun returns an error of a target that failed and may have run the request.
func mayHaveRun(err error) error {
	return &engine.Error{Verdict: verdict.MayHaveRun, TargetDown: true, Err: err}
}
