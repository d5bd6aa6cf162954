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
	lastStream   int                          // number in the id of the last granted stream
	running      map[string]home.ReserveReply // reply to a repeated submission of a running or completed request, by request id
	claims       map[string]bool              // by request id; true for a non-idempotent request
	granted      map[string][]string          // ids of granted streams, by request id
	submissions  map[string]any               // value of submissionKey, by granted stream
	fingerprints map[string]string            // by request id
	reservations []home.ReserveRequest
	settlements  []home.SettleRequest
	billLines    map[string]home.SettleRequest // completed settlement, by request id
	// If set, reserveFunc replaces the decision of Reserve.
	reserveFunc func(home.ReserveRequest) (home.ReserveReply, error)
	// If set, Settle returns the result of settleFunc. If that result is durable, Settle
	// also records the outcome.
	settleFunc func(context.Context, home.SettleRequest) (home.SettleReply, error)
	duplicates int // number of settlements that completed a non-idempotent request again under another stream
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
	h.reservations = append(h.reservations, req)
	if h.reserveFunc != nil {
		return h.reserveFunc(req)
	}
	if old, ok := h.fingerprints[req.Request]; ok && old != req.Fingerprint {
		return refused(verdict.New(verdict.NotRun, verdict.KeyReused, "another body")), nil
	}
	h.fingerprints[req.Request] = req.Fingerprint
	if attachment, ok := h.running[req.Request]; ok {
		return attachment, nil
	}
	h.lastStream++
	h.claims[req.Request] = req.NonIdempotent
	stream := fmt.Sprintf("g1.%d", h.lastStream)
	h.granted[req.Request] = append(h.granted[req.Request], stream)
	h.submissions[stream] = ctx.Value(submissionKey{})
	h.running[req.Request] = home.ReserveReply{Outcome: home.Attach, Grant: "g1", Stream: stream, Target: req.Target}
	return home.ReserveReply{Outcome: home.Granted, Grant: "g1", Stream: stream}, nil
}

func (h *fakeHome) Settle(ctx context.Context, req home.SettleRequest) (home.SettleReply, error) {
	h.mu.Lock()
	h.settlements = append(h.settlements, req)
	respond := h.settleFunc
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
	return append([]home.SettleRequest(nil), h.settlements...)
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
