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
	// callersPerHost send requests one after the other on kept connections.
	callersPerHost = 4
	callPause      = 30 * time.Millisecond
	callLimit      = 7 * time.Second // above the deadline of a request
	promptTokens   = 100
	eventsPerRun   = 5
	outputTokens   = eventsPerRun * rig.TokensPerEvent
)

var lastRequest atomic.Int64

// callers send requests to every host until stopCallers.
func (w *world) callers(ctx context.Context) {
	ctx, w.cancel = context.WithCancel(ctx)
	for i, h := range w.hosts {
		for j := range callersPerHost {
			random := rand.New(rand.NewPCG(w.seed, uint64(100+i*callersPerHost+j)))
			w.running.Go(func() {
				for ctx.Err() == nil {
					w.ask(h, w.choosePath(random))
					time.Sleep(callPause)
				}
			})
		}
	}
}

func (w *world) stopCallers() {
	w.cancel()
	w.running.Wait()
}

func (w *world) choosePath(random *rand.Rand) string {
	switch random.IntN(4) {
	case 0:
		return "/order/"
	case 1:
		return versionPath(max(1, int(w.book.newest.Load())-random.IntN(2)))
	}
	return "/menu/"
}

// ask sends one request and checks the answer. It is not bound to the callers'
// context, so that every request is seen to its end.
func (w *world) ask(h *host, path string) rig.Response {
	id := fmt.Sprintf("%016x", lastRequest.Add(1))
	output := int64(outputTokens)
	if path == "/order/" {
		output = 0
	}
	before := h.state()
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	start := time.Now()
	a := h.Send(ctx, id, path, promptTokens, output)
	w.book.note(request{id: id, host: h.Name, path: path, answer: a, start: start, end: time.Now(), before: before, after: h.state()})
	if a.Err == nil && a.Status == 200 {
		if problem := wholeStream(a.Body); path != "/order/" && problem != "" {
			w.t.Errorf("%s %s at %s: %s: %q", id, path, h.Name, problem, a.Body)
		}
		h.checkNewest(w, path, before.process, start)
	}
	return a
}

// wholeStream returns what is wrong with a complete answer.
func wholeStream(body string) string {
	events := 0
	for block := range strings.SplitSeq(body, "\n\n") {
		if block == "" {
			continue
		}
		events++
		if want := fmt.Sprintf("id: %d\ndata: event %d of ", events, events); !strings.HasPrefix(block, want) {
			return "a piece is missing, doubled or broken"
		}
	}
	if events != eventsPerRun {
		return fmt.Sprintf("%d of %d pieces", events, eventsPerRun)
	}
	return ""
}

// checkNewest requires a process not to serve a configuration by a request that
// came after it had answered one by a newer configuration.
func (h *host) checkNewest(w *world, path string, process int, start time.Time) {
	var version int
	if _, err := fmt.Sscanf(path, "/v%d/", &version); err != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != process {
		return
	}
	for newer, at := range h.served {
		if newer > version && at.Before(start) {
			w.t.Errorf("%s served configuration %d to a request after it had served %d", h.Name, version, newer)
		}
	}
	if _, known := h.served[version]; !known {
		h.served[version] = time.Now()
	}
}
