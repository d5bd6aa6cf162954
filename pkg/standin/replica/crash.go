package replica

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"time"

	"github.com/peppertrail/peppertrail/pkg/balance"
)

// Crashed reports whether the replica has crashed because of Faults.CrashPart or
// Faults.CrashPath, and was not restarted since.
func (r *Replica) Crashed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashed
}

// Crashes returns when the replica has crashed, oldest first.
func (r *Replica) Crashes() []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.crashes)
}

// crash breaks off all responses and refuses further connections.
func (r *Replica) crash() {
	r.mu.Lock()
	if !r.crashed {
		r.crashed = true
		r.crashes = append(r.crashes, time.Now())
	}
	server := r.server
	r.mu.Unlock()
	_ = server.Listener.Close() // fails only if it is closed already
	server.CloseClientConnections()
}

// Restart starts a crashed replica again at its address, under an ID.
func (r *Replica) Restart(id string) error {
	l, err := net.Listen("tcp", r.Addr())
	if err != nil {
		return fmt.Errorf("restart replica %s: %w", id, err)
	}
	server := httptest.NewUnstartedServer(http.HandlerFunc(r.serve))
	_ = server.Listener.Close() // of a random address
	server.Listener = l
	server.Start()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ID, r.Born, r.server, r.crashed = id, time.Now().UnixMilli(), server, false
	return nil
}

// crashesOn reports whether the replica crashes when it begins to run a request.
func (f Faults) crashesOn(request *http.Request) bool {
	return f.CrashPath != "" && request.URL.Path == f.CrashPath
}

// hasPart reports whether the prompt of a request has the part with an id, which is not
// empty.
func (r *Replica) hasPart(request *http.Request, id string) bool {
	parts, err := r.dialect.ParseParts(request.Header.Get(r.dialect.PromptParts))
	return id != "" && err == nil && slices.ContainsFunc(parts, func(p balance.Part) bool { return p.ID == id })
}
