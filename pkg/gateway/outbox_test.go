package gateway

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/home"
	"github.com/peppertrail/peppertrail/pkg/telemetry"
)

// Guards against a settlement that reaches the home after the one that replaced it, so that the home keeps the older one.
func TestSettlementsOfOneStreamAreSubmittedInOrder(t *testing.T) {
	h := newFakeHome()
	submitting, release := make(chan struct{}), make(chan struct{})
	var concurrent, most atomic.Int32
	h.settleFunc = func(_ context.Context, s home.SettleRequest) (home.SettleReply, error) {
		most.Store(max(most.Load(), concurrent.Add(1)))
		defer concurrent.Add(-1)
		if !s.Final {
			close(submitting)
			<-release
		}
		return home.SettleReply{Durable: true}, nil
	}
	logs, err := telemetry.NewLogs("error", telemetry.JSONFormat, t.Output())
	assert.NilError(t, err)
	outbox := NewOutbox(h, 10, telemetry.NewMetrics(), logs.Logger("gateway"))
	defer outbox.Close()
	outbox.Add(home.SettleRequest{Request: "r1", Stream: "s1", Outcome: home.Failed})
	<-submitting
	durable := outbox.Add(home.SettleRequest{Request: "r1", Stream: "s1", Outcome: home.Failed, Final: true})
	time.Sleep(50 * time.Millisecond)
	close(release)
	<-durable
	assert.Equal(t, most.Load(), int32(1))
	settlements := h.settled()
	assert.Equal(t, len(settlements), 2)
	assert.Assert(t, settlements[1].Final)
}
