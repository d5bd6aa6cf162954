package replica

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/peppertrail/peppertrail/pkg/balance"
	"github.com/peppertrail/peppertrail/pkg/dialect"
)

// IDHeader is the response header that holds the id of the replica.
const IDHeader = "Replica-Signature"

// Run is a request that a replica has started to execute.
type Run struct {
	ID           string // request id
	Method       string
	URI          string
	Host         string // Host header
	Body         string
	Header       http.Header
	ResumeAfter  string        // id of the last event that the caller has received; empty: none
	Disconnected chan struct{} // closed when the client disconnects before the response starts
	Started      time.Time
}

// Replica is a stand-in target behind its own HTTP server. It is safe for
// concurrent use, except that EventCount must not be set while a request is served.
type Replica struct {
	ID         string // changes only in Restart
	EventCount int    // number of events in a stream
	Born       int64  // start of the replica in Unix milliseconds, for its registration; 0: not registered
	dialect    dialect.Dialect

	mu       sync.Mutex
	server   *httptest.Server
	faults   Faults
	endless  Endless
	runs     []Run
	rejected int
	crashed  bool
	crashes  []time.Time
}

// New starts a replica with an id on a loopback address.
func New(id string, d dialect.Dialect) *Replica {
	r := &Replica{ID: id, EventCount: 5, dialect: d}
	r.server = httptest.NewServer(http.HandlerFunc(r.serve))
	return r
}

// Close stops the replica and closes its connections.
func (r *Replica) Close() {
	r.mu.Lock()
	server := r.server
	r.mu.Unlock()
	server.CloseClientConnections()
	server.Close()
}

// Target returns the replica as a balancing target of the named service.
func (r *Replica) Target(service string) balance.Target {
	return balance.Target{ID: r.ID, Service: service, Addr: r.Addr(), Slots: 8}
}

// Addr returns the replica's address as IP:port.
func (r *Replica) Addr() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.TrimPrefix(r.server.URL, "http://")
}

// SetFaults replaces the faults.
func (r *Replica) SetFaults(f Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

func (r *Replica) id() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ID
}

func (r *Replica) currentFaults() Faults {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults
}

// Runs returns the requests that the replica has started to execute, oldest first.
func (r *Replica) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.runs...)
}

// Rejected returns how many requests the replica has rejected without running them.
func (r *Replica) Rejected() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rejected
}

func (r *Replica) serve(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get(r.dialect.RequestID)
	w.Header().Set(r.dialect.RequestID, id)
	said := r.currentFaults()
	if said.Leaving != "" {
		w.Header().Set(r.dialect.Leaving, said.Leaving)
	}
	if said.RateLimit != "" {
		w.Header().Set(r.dialect.RateLimit, said.RateLimit)
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	if expected := request.Header.Get(r.dialect.ExpectTarget); expected != "" && expected != r.id() {
		r.reject(w, http.StatusMisdirectedRequest)
		return
	}
	faults, run := r.begin(id, request, string(body))
	if faults.RejectAll {
		if faults.RetryAfter != "" {
			w.Header().Set("Retry-After", faults.RetryAfter)
		}
		r.reject(w, http.StatusServiceUnavailable)
		return
	}
	if faults.NeverResponds {
		<-request.Context().Done()
		close(run.Disconnected)
		return
	}
	if faults.crashesOn(request) {
		r.crash()
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(faults.Delay):
	case <-request.Context().Done():
		close(run.Disconnected)
		return
	}
	if r.hasPart(request, faults.CrashPart) {
		r.crash()
	}
	if faults.LoseResponse || r.Crashed() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(IDHeader, r.id())
	if faults.Status != 0 {
		w.WriteHeader(faults.Status)
		fmt.Fprintf(w, "status of %s", r.ID)
		return
	}
	stream := strings.Contains(request.Header.Get("Accept"), "text/event-stream")
	if e := r.currentEndless(); e.Kind != EndlessNone && (!stream || faults.AbortAfterEvents == 0) {
		r.sendEndless(w, run, e, stream)
		return
	}
	if stream {
		r.stream(w, run, faults)
		return
	}
	fmt.Fprintf(w, "answer to %s", id)
}

// begin returns the current faults and a new run, which it records unless
// Faults.RejectAll is set.
func (r *Replica) begin(id string, request *http.Request, body string) (Faults, Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := Run{
		ID: id, Method: request.Method, URI: request.RequestURI, Host: request.Host, Body: body, Header: request.Header,
		ResumeAfter: request.Header.Get(r.dialect.LastEventID), Disconnected: make(chan struct{}), Started: time.Now(),
	}
	if !r.faults.RejectAll {
		r.runs = append(r.runs, run)
	}
	return r.faults, run
}

func (r *Replica) reject(w http.ResponseWriter, status int) {
	r.mu.Lock()
	r.rejected++
	r.mu.Unlock()
	w.Header().Set(r.dialect.NotRun, "1")
	w.WriteHeader(status)
}

// stream sends the events after the last one that the caller has received.
func (r *Replica) stream(w http.ResponseWriter, run Run, f Faults) {
	body, err := newEventBody(w, f)
	if err != nil {
		return // the client has disconnected
	}
	defer body.end()
	lastReceived, _ := strconv.Atoi(run.ResumeAfter) // 0 if the caller has received none
	for n := lastReceived + 1; n <= r.EventCount; n++ {
		if f.AbortAfterEvents > 0 && n > f.AbortAfterEvents {
			time.Sleep(f.AbortDelay)
			if f.AbortMidEvent {
				_ = body.write(fmt.Sprintf("id: %d\nda", n)) // an error does not matter: the connection is closed next
			}
			if !f.AbortRegularly {
				body.abort()
			}
			return
		}
		time.Sleep(f.EventPause)
		if body.write(eventText(n, run.ID)) != nil {
			return
		}
	}
}

func eventText(n int, id string) string {
	return fmt.Sprintf("id: %d\ndata: event %d of %s\n\n", n, n, id)
}
