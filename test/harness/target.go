package harness

import (
	"fmt"
	"path/filepath"
	"testing"

	"github.com/peppertrail/peppertrail/pkg/storage"
	"github.com/peppertrail/peppertrail/test/harness/proxy"
)

// Target is an engine or service stand-in behind a proxy. The membership list
// contains the address of the proxy.
type Target struct {
	*process
	ID      string
	Link    *proxy.Proxy
	journal string // path of the journal file
	addr    string // address of the process, behind the proxy
	kind    string // subcommand of the stand-in: engine or service
	args    []string
	t       testing.TB
}

// startTarget starts a stand-in behind its own proxy.
func startTarget(t testing.TB, dir, kind, id string, args []string) *Target {
	t.Helper()
	target := &Target{
		ID:      id,
		Link:    listen(t, ""),
		journal: filepath.Join(dir, id+".journal"),
		kind:    kind,
		args:    args,
		t:       t,
	}
	target.Start()
	return target
}

// Start starts the process, also after it has exited. A new process appends to
// the journal file of the previous one.
func (g *Target) Start() {
	g.t.Helper()
	args := append([]string{g.kind, "--listen", standinHost + ":0", "--journal", g.journal}, g.args...)
	g.process, g.addr = launchStandin(g.t, g.ID, args...)
	g.Link.SetUpstream(g.addr)
}

// Kill kills the process with SIGKILL and waits until it has exited.
func (g *Target) Kill() {
	g.t.Helper()
	if err := g.kill(); err != nil {
		g.t.Fatalf("harness: %v", err)
	}
}

// member returns the target's entry in the membership list.
func (g *Target) member(service string) storage.Member {
	return storage.Member{
		ID:            g.ID,
		Kind:          storage.TargetMember,
		Addr:          g.Link.Addr(),
		Region:        region,
		FailureDomain: failureDomain,
		Service:       service,
		State:         storage.MemberLive,
	}
}

// listen starts a proxy that is closed at the end of the test.
func listen(t testing.TB, upstream string) *proxy.Proxy {
	t.Helper()
	p, err := proxy.Listen(proxyHost+":0", upstream)
	if err != nil {
		t.Fatalf("harness: %v", fmt.Errorf("proxy: %w", err))
	}
	t.Cleanup(p.Close)
	return p
}
