package slopes

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/peppertrail/peppertrail/pkg/standin/engine"
	"github.com/peppertrail/peppertrail/pkg/storage"
	"github.com/peppertrail/peppertrail/pkg/target"
)

const (
	targetService     = "chef-llm"
	targetModel       = "chef"
	targetSlots       = 8192
	targetCacheBlocks = 4096
	// targetRetention is short, so that ended streams do not fill the tool's memory.
	targetRetention = time.Second
)

// targetSet is a set of engine stand-ins, each with its own address. They run in the
// tool's process, so that hundreds of targets need only one process.
type targetSet struct {
	tokenTime time.Duration
	bytes     atomic.Int64 // bytes of all connections, both directions
	engines   []*engine.Engine
	servers   []*http.Server
}

// startUpTo starts targets until there are n and adds them to the membership list.
func (t *targetSet) startUpTo(ctx context.Context, p *platformServer, n int) error {
	for len(t.servers) < n {
		if err := t.addTarget(ctx, p); err != nil {
			return fmt.Errorf("target %d: %w", len(t.servers), err)
		}
	}
	return nil
}

func (t *targetSet) addTarget(ctx context.Context, p *platformServer) error {
	e, err := engine.New(engine.Options{
		Kind: target.JSONStatus, Slots: targetSlots, CacheBlocks: targetCacheBlocks, TokenTime: t.tokenTime, Retention: targetRetention,
	})
	if err != nil {
		return err
	}
	t.engines = append(t.engines, e)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	id := fmt.Sprintf("chef-%d", len(t.servers))
	server := &http.Server{Handler: answerWithMaxTokens(e.Handler()), ReadHeaderTimeout: toolTimeout}
	t.servers = append(t.servers, server)
	go func() { _ = server.Serve(countedListener{Listener: ln, bytes: &t.bytes}) }()
	member, err := json.Marshal(storage.Member{
		ID: id, Kind: storage.TargetMember, Addr: ln.Addr().String(), Region: region(0),
		FailureDomain: failureDomain(0), Service: targetService, State: storage.MemberLive,
	})
	if err != nil {
		return err
	}
	return p.putMember(ctx, id, member)
}

func (t *targetSet) close() {
	for _, s := range t.servers {
		_ = s.Close()
	}
	for _, e := range t.engines {
		_ = e.Close()
	}
}

// openStreams returns the number of streams that the targets run.
func (t *targetSet) openStreams() int {
	open := 0
	for _, e := range t.engines {
		open += e.Running()
	}
	return open
}
