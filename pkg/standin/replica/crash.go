package replica

import (
	"net/http"
	"slices"

	"github.com/peppertrail/peppertrail/pkg/balance"
)

// Crashed reports whether the replica has crashed because of Faults.CrashPart.
func (r *Replica) Crashed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashed
}

// crash breaks off all responses and refuses further connections.
func (r *Replica) crash() {
	r.mu.Lock()
	r.crashed = true
	r.mu.Unlock()
	_ = r.server.Listener.Close() // fails only if it is closed already
	r.server.CloseClientConnections()
}

// hasPart reports whether the prompt of a request has the part with an id, which is not
// empty.
func (r *Replica) hasPart(request *http.Request, id string) bool {
	parts, err := r.dialect.ParseParts(request.Header.Get(r.dialect.PromptParts))
	return id != "" && err == nil && slices.ContainsFunc(parts, func(p balance.Part) bool { return p.ID == id })
}
