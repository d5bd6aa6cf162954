package gateway

import (
	"context"
	"fmt"
	"sync"

	"github.com/peppertrail/peppertrail/pkg/home"
	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// submissionKey is the context key of the value with which a test identifies one
// submission of a request.
type submissionKey struct{}

// fakeHome is a home.Authority that keeps running and completed requests in memory.
type fakeHome struct {
	mu           sync.Mutex
	next         int
	running      map[string]home.ReserveReply // reply to a further submission, by request id
	claims       map[string]bool              // by request id; true for a non-idempotent request
	granted      map[string][]string          // ids of granted streams, by request id
	submissions  map[string]any               // value of submissionKey, by granted stream
	fingerprints map[string]string            // by request id
	reserves     []home.ReserveRequest
	settles      []home.SettleRequest
	billLines    map[string]home.SettleRequest // completed settlement, by request id
	reserve      func(home.ReserveRequest) (home.ReserveReply, error)
	settle       func(context.Context, home.SettleRequest) (home.SettleReply, error)
	duplicates   int // number of settlements that completed a non-idempotent request again under another stream
}

func newFakeHome() *fakeHome {
	return &fakeHome{
		running:      make(map[string]home.ReserveReply),
		claims:       make(map[string]bool),
		granted:      make(map[string][]string),
		submissions:  make(map[string]any),
		fingerprints: make(map[string]string),
		billLines:    make(map[string]home.SettleRequest),
	}
}

func (h *fakeHome) For(string, string) home.Authority { return h }

func (h *fakeHome) Reserve(ctx context.Context, req home.ReserveRequest) (home.ReserveReply, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reserves = append(h.reserves, req)
	if h.reserve != nil {
		return h.reserve(req)
	}
	if old, ok := h.fingerprints[req.Request]; ok && old != req.Fingerprint {
		return refused(verdict.New(verdict.NotRun, verdict.KeyReused, "another body")), nil
	}
	h.fingerprints[req.Request] = req.Fingerprint
	if attachment, ok := h.running[req.Request]; ok {
		return attachment, nil
	}
	h.next++
	h.claims[req.Request] = req.NonIdempotent
	stream := fmt.Sprintf("g1.%d", h.next)
	h.granted[req.Request] = append(h.granted[req.Request], stream)
	h.submissions[stream] = ctx.Value(submissionKey{})
	h.running[req.Request] = home.ReserveReply{Outcome: home.Attach, Grant: "g1", Stream: stream, Target: req.Target}
	return home.ReserveReply{Outcome: home.Granted, Grant: "g1", Stream: stream}, nil
}

func (h *fakeHome) Settle(ctx context.Context, req home.SettleRequest) (home.SettleReply, error) {
	h.mu.Lock()
	h.settles = append(h.settles, req)
	respond := h.settle
	h.mu.Unlock()
	if respond != nil {
		reply, err := respond(ctx, req)
		if err != nil || !reply.Durable {
			return reply, err
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if req.Outcome == home.Completed {
		if billLine, ok := h.billLines[req.Request]; ok && billLine.Stream != req.Stream && h.claims[req.Request] {
			h.duplicates++
		}
		h.billLines[req.Request] = req
	} else if h.mayRedispatch(req) {
		delete(h.running, req.Request)
	}
	return home.SettleReply{Durable: true}, nil
}

// mayRedispatch reports whether the request may be dispatched again after a settlement
// that did not complete it.
func (h *fakeHome) mayRedispatch(req home.SettleRequest) bool {
	if h.running[req.Request].Stream != req.Stream {
		return false
	}
	return req.Outcome == home.NotDispatched || !h.claims[req.Request]
}

// streamsOf returns the ids of the streams granted to a request. If submission is not
// nil, it returns only the streams of that submission.
func (h *fakeHome) streamsOf(request string, submission any) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var streams []string
	for _, stream := range h.granted[request] {
		if submission == nil || h.submissions[stream] == submission {
			streams = append(streams, stream)
		}
	}
	return streams
}

// settled returns the settlements received so far.
func (h *fakeHome) settled() []home.SettleRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]home.SettleRequest(nil), h.settles...)
}

// billLine returns the completed settlement of a request.
func (h *fakeHome) billLine(request string) (home.SettleRequest, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	billLine, ok := h.billLines[request]
	return billLine, ok
}

func refused(e *verdict.Error) home.ReserveReply {
	return home.ReserveReply{Outcome: home.Refused, Refusal: e}
}
