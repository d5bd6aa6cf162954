package soak

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/peppertrail/peppertrail/platform/rig"
)

// request is what a caller saw of one request.
type request struct {
	id, host, path string
	answer         rig.Response
	start, end     time.Time
	before, after  hostState
}

// alone tells whether nothing was done to the process meanwhile.
func (r request) alone() bool { return r.before == r.after && !r.after.disturbed() }

// book keeps what callers saw.
type book struct {
	t      *testing.T
	newest atomic.Int64 // version of the configuration written last

	mu       sync.Mutex
	requests map[string]request
	log      []string
}

func (b *book) init(t *testing.T) {
	b.t = t
	b.requests = make(map[string]request)
}

// event notes a fault.
func (b *book) event(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.log = append(b.log, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

func (b *book) events() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.log)
}

func (b *book) note(r request) {
	b.event("%s %s %s: %d %v after %v", r.id, r.host, r.path, r.answer.Status, r.answer.Err, r.end.Sub(r.start).Round(time.Millisecond))
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests[r.id] = r
	switch {
	case r.answer.Err != nil && r.answer.Status == 0 && r.alone():
		b.t.Errorf("%s %s: %s gave no answer though its process was left alone: %v", r.id, r.path, r.host, r.answer.Err)
	case r.answer.Err == nil && refused(r.answer.Status) && r.answer.RetryAfter == "":
		b.t.Errorf("%s %s: %s refused with %d without a time to come back", r.id, r.path, r.host, r.answer.Status)
	}
}

// refused tells whether a status promises that the request has not run.
func refused(status int) bool { return status == 503 || status == 429 }

// summary counts the answers by status; 0 is none.
func (b *book) summary() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := make(map[int]int)
	for _, r := range b.requests {
		status := r.answer.Status
		if r.answer.Err != nil {
			status = 0
		}
		counts[status]++
	}
	text := ""
	for _, status := range slices.Sorted(maps.Keys(counts)) {
		text += fmt.Sprintf("%d: %d; ", status, counts[status])
	}
	return text
}

// mayBreakOff reports whether the daemon had a reason not to go on with a stream.
func (w *world) mayBreakOff(r request) bool {
	for _, h := range w.hosts {
		if h.Name == r.host {
			line := h.LastLogLine(`"`+r.id+`"`, `"stopped_by":`)
			return slices.ContainsFunc([]string{"attempts", "retry_limit", "no_target", "deadline"}, func(reason string) bool {
				return strings.Contains(line, `"stopped_by":"`+reason+`"`)
			})
		}
	}
	return false
}

// checkRuns compares what callers saw with what targets ran.
func (w *world) checkRuns() {
	runs := make(map[string]int)
	for _, l := range w.links {
		for _, run := range l.Runs() {
			runs[run.ID]++
		}
	}
	w.book.mu.Lock()
	defer w.book.mu.Unlock()
	for id, r := range w.book.requests {
		unsafe := r.path == "/order/"
		if unsafe && runs[id] > 1 {
			w.t.Errorf("%s: an unsafe request ran %d times", id, runs[id])
		}
		if unsafe && r.answer.Err == nil && refused(r.answer.Status) && runs[id] > 0 {
			w.t.Errorf("%s: answered %d, but it ran", id, r.answer.Status)
		}
		if r.answer.Err != nil && r.answer.Status == 200 && r.alone() && !w.mayBreakOff(r) {
			w.t.Errorf("%s %s: %s broke off after %d runs: %v", id, r.path, r.host, runs[id], r.answer.Err)
		}
		if r.answer.Err != nil || r.answer.Status != 200 {
			continue
		}
		if runs[id] == 0 {
			w.t.Errorf("%s: answered, but no target ran it", id)
		}
	}
}

// checkBudget requires the answers so far to cost no more than is prepaid.
func (w *world) checkBudget() {
	w.book.mu.Lock()
	defer w.book.mu.Unlock()
	spent, prepaid := int64(0), w.prepaid.Load()
	for _, r := range w.book.requests {
		if r.answer.Err != nil || r.answer.Status != 200 {
			continue
		}
		spent += promptTokens
		if r.path != "/order/" {
			spent += outputTokens
		}
	}
	if spent > prepaid {
		w.t.Errorf("%d tokens spent of %d", spent, prepaid)
	}
}
