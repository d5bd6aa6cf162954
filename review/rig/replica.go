//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// run is a request that a replica has begun to work on.
type run struct {
	ID, Replica, Service, Path, Tenant string
	At                                 time.Time
}

// replica is a sound server of a service: it answers each request with its signature, or in a
// stream of events, and rejects requests that name another replica.
type replica struct {
	id, service, zone string
	slots             int
	stream            bool
	pause             time.Duration // between two events, or until a plain answer
	first             time.Duration // until the first event
	crashOn           string        // a request with this path crashes the replica that begins to run it
	downFor           time.Duration
	newIDs            bool // it starts again under a new id

	f       *fleet
	addr    string
	mu      sync.Mutex
	server  *http.Server
	born    int64
	seq     int
	running atomic.Int64
	waiting atomic.Int64
	places  chan struct{} // one for each request that runs
	gone    bool
	leaving bool
	down    bool
	crashes []time.Time
}

const tokensPerEvent = 9

func (r *replica) start() {
	if r.addr == "" {
		r.addr = freeAddr(r.f.ip(1, len(r.f.replicas)+1))
	}
	l, err := net.Listen("tcp", r.addr)
	check(err)
	r.mu.Lock()
	if r.newIDs && r.born != 0 {
		old := r.id
		r.id = fmt.Sprintf("i-%08x", rand.Uint32())
		go func() { // the entry of the incarnation that has ended lapses
			time.Sleep(3 * 1200 * time.Millisecond)
			r.f.store.removeRow("servers", old)
		}()
	}
	r.born = time.Now().UnixMilli()
	r.seq = 0
	r.down = false
	r.places = make(chan struct{}, r.slots)
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve), IdleTimeout: 60 * time.Second}
	server := r.server
	r.mu.Unlock()
	go server.Serve(l)
	r.beat()
}

// beat writes the registration of the replica.
func (r *replica) beat() {
	r.mu.Lock()
	r.seq++
	if r.gone || r.down {
		r.mu.Unlock()
		return
	}
	state := "ready"
	if r.leaving {
		state = "draining"
	}
	entry := map[string]any{"service": r.service, "address": r.addr, "zone": r.zone, "version": "v1", "slots": r.slots, "state": state, fields.Cold: 0, "sequence": r.seq, "born": r.born}
	r.mu.Unlock()
	r.f.store.put("servers", r.id, entry)
}

func (r *replica) beats() {
	for {
		time.Sleep(1200 * time.Millisecond)
		r.beat()
	}
}

// crash ends all connections. The replica is back after downFor, under its id.
func (r *replica) crash() {
	r.mu.Lock()
	if r.down {
		r.mu.Unlock()
		return
	}
	r.down = true
	r.crashes = append(r.crashes, time.Now())
	server := r.server
	r.mu.Unlock()
	go func() {
		server.Close()
		time.Sleep(r.downFor)
		r.start()
	}()
}

func (r *replica) isDown() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.down
}

func (r *replica) name() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.id
}

func (r *replica) isLeaving() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaving
}

func (r *replica) serve(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get(headers.ID)
	h := w.Header()
	if q.Method == http.MethodGet && q.URL.Path == "/healthz" {
		h.Set(headers.Replica, r.name())
		return
	}
	h.Set(headers.ID, id)
	h.Set(headers.Load, fmt.Sprintf("%d,%d,%d", r.running.Load(), r.waiting.Load(), r.slots))
	if r.isLeaving() {
		h.Set(headers.Leaving, "1")
	}
	length, err := io.Copy(io.Discard, q.Body)
	if err != nil {
		return
	}
	if want := q.Header.Get(headers.Expect); want != "" && want != r.name() {
		h.Set(headers.Replica, r.id)
		h.Set(headers.NotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		h.Set(headers.NotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.f.reaches(id)
	ctx := q.Context()
	if ms, err := strconv.Atoi(q.Header.Get(headers.Deadline)); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	release := r.takeSlot(ctx)
	if release == nil { // the queue is full, or the deadline has passed in it
		h.Set(headers.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer release()
	r.f.ran(run{ID: id, Replica: r.id, Service: r.service, Path: q.URL.Path, Tenant: q.Header.Get(headers.Tenant), At: time.Now()})
	if r.crashOn != "" && strings.HasPrefix(q.URL.Path, r.crashOn) {
		r.crash()
		panic(http.ErrAbortHandler)
	}
	h.Set(headers.Signature, "s."+r.id+"."+id)
	wait := func(d time.Duration) bool {
		select {
		case <-time.After(d):
			return !r.isDown()
		case <-ctx.Done():
			return false
		}
	}
	ended := func() { // the deadline has passed, the caller has left or the replica has crashed
		if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
			panic(http.ErrAbortHandler)
		}
		h.Del("Content-Type")
		w.WriteHeader(http.StatusGatewayTimeout)
	}
	if !r.stream {
		if !wait(r.pause) {
			ended()
			return
		}
		fmt.Fprintf(w, "answer of %s to %s, %d bytes", r.id, id, length)
		return
	}
	h.Set("Content-Type", "text/event-stream")
	maxOut := 0
	if _, out, ok := strings.Cut(q.Header.Get(headers.Usage), ","); ok {
		maxOut, _ = strconv.Atoi(out)
	}
	if !wait(r.first) {
		ended()
		return
	}
	for n := 1; n <= (maxOut+tokensPerEvent-1)/tokensPerEvent; n++ {
		if n > 1 && !wait(r.pause) {
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: event %d of %s at %s\n\n", n, n, id, r.id); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
}

// leave says that the replica is draining, and ends it drainMs and a little later.
func (r *replica) leave() {
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	r.beat()
	time.Sleep(3 * time.Second)
	r.mu.Lock()
	r.gone = true
	server := r.server
	r.mu.Unlock()
	r.f.store.removeRow("servers", r.id)
	server.Close()
}

// takeSlot waits in the queue for a slot. It returns nil if the queue is full, or the context has ended
// in it.
func (r *replica) takeSlot(ctx context.Context) (release func()) {
	r.mu.Lock()
	places := r.places
	r.mu.Unlock()
	queue := int64(3 * r.slots)
	if !r.stream {
		queue = int64(4 * r.slots)
	}
	select {
	case places <- struct{}{}:
	default:
		if r.waiting.Add(1) > queue {
			r.waiting.Add(-1)
			return nil
		}
		defer r.waiting.Add(-1)
		select {
		case places <- struct{}{}:
		case <-ctx.Done():
			return nil
		}
	}
	r.running.Add(1)
	return func() {
		r.running.Add(-1)
		<-places
	}
}
