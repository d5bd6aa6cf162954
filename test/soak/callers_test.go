package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"github.com/peppertrail/peppertrail/platform/rig"
)

const (
	// callersPerHost is the number of callers per host. Each sends one request at a
	// time and reuses connections.
	callersPerHost  = 4
	callPause       = 30 * time.Millisecond
	callTimeout     = 7 * time.Second // longer than the deadline of a request
	promptTokens    = 100
	eventsPerStream = 5
	outputTokens    = eventsPerStream * rig.TokensPerEvent
)

var lastRequestNumber atomic.Int64

// startCallers starts callers that send requests to every host until stopCallers
// is called.
func (s *scenario) startCallers(ctx context.Context) {
	ctx, s.cancelCallers = context.WithCancel(ctx)
	for i, h := range s.hosts {
		for j := range callersPerHost {
			random := rand.New(rand.NewPCG(s.seed, uint64(100+i*callersPerHost+j)))
			s.callerGroup.Go(func() {
				for ctx.Err() == nil {
					s.send(h, s.choosePath(random))
					time.Sleep(callPause)
				}
			})
		}
	}
}

func (s *scenario) stopCallers() {
	s.cancelCallers()
	s.callerGroup.Wait()
}

// choosePath returns a random path: the unsafe route /order/ with probability 1/4, the
// route of the newest or the previous configuration version with probability 1/4, and
// otherwise /menu/.
func (s *scenario) choosePath(random *rand.Rand) string {
	switch random.IntN(4) {
	case 0:
		return "/order/"
	case 1:
		return versionPath(max(1, int(s.recorder.latestVersion.Load())-random.IntN(2)))
	}
	return "/menu/"
}

// send sends one request and checks the response. It does not use the context of
// the callers, so that every request is observed until it ends.
func (s *scenario) send(h *host, path string) rig.Response {
	id := fmt.Sprintf("%016x", lastRequestNumber.Add(1))
	output := int64(outputTokens)
	if path == "/order/" {
		output = 0
	}
	stateBefore := h.state()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	start := time.Now()
	response := h.Send(ctx, id, path, promptTokens, output)
	s.recorder.record(request{id: id, host: h.Name, path: path, response: response, start: start, end: time.Now(), stateBefore: stateBefore, stateAfter: h.state()})
	if response.Err == nil && response.Status == 200 {
		if problem := streamProblem(response.Body); path != "/order/" && problem != "" {
			s.t.Errorf("%s %s at %s: %s: %q", id, path, h.Name, problem, response.Body)
		}
		h.checkVersionOrder(s, path, stateBefore.generation, start)
	}
	return response
}

// streamProblem returns what is wrong with the body of a successful stream, or ""
// if all its events arrived once and in order.
func streamProblem(body string) string {
	events := 0
	for block := range strings.SplitSeq(body, "\n\n") {
		if block == "" {
			continue
		}
		events++
		if want := fmt.Sprintf("id: %d\ndata: event %d of ", events, events); !strings.HasPrefix(block, want) {
			return "an event is missing, duplicated or malformed"
		}
	}
	if events != eventsPerStream {
		return fmt.Sprintf("received %d of %d events", events, eventsPerStream)
	}
	return ""
}

// checkVersionOrder requires that a process does not serve a request with an older
// configuration if the request started after the process had served a request with
// a newer one.
func (h *host) checkVersionOrder(s *scenario, path string, generation int, start time.Time) {
	var version int
	if _, err := fmt.Sscanf(path, "/v%d/", &version); err != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.generation != generation {
		return
	}
	for newer, at := range h.firstServed {
		if newer > version && at.Before(start) {
			s.t.Errorf("%s served a request with configuration %d after it had served one with configuration %d", h.Name, version, newer)
		}
	}
	if _, known := h.firstServed[version]; !known {
		h.firstServed[version] = time.Now()
	}
}
