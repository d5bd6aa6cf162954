package integration

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	standin "github.com/peppertrail/peppertrail/pkg/standin/platform"
	"github.com/peppertrail/peppertrail/pkg/storage"
	"github.com/peppertrail/peppertrail/pkg/storage/remote"
	"github.com/peppertrail/peppertrail/test/harness"
)

// leavingSign is the first sign that a target leaves.
type leavingTrigger string

// Signs of leaving.
const (
	triggerMembership   leavingTrigger = "membership leaving"
	triggerReport       leavingTrigger = "report draining"
	triggerReportOutage leavingTrigger = "report draining during a platform outage"
	triggerDrainOrder   leavingTrigger = "operator's drain order"
	triggerKill         leavingTrigger = "death"
)

const (
	// leavingLimit is drain_seconds of the design.
	leavingLimit = 3 * time.Second
	// leavingOrderLimit adds the interval in which other daemons read drain orders.
	leavingOrderLimit = leavingLimit + 2*time.Second
	// leavingCall bounds a call of the test to platform or daemon.
	leavingCallTimeout = 10 * time.Second
)

// limit returns how long dispatches may go on after the sign.
func (s leavingTrigger) limit() time.Duration {
	if s == triggerDrainOrder {
		return leavingOrderLimit
	}
	return leavingLimit
}

// leaving is a target that leaves.
type leavingTarget struct {
	trigger     leavingTrigger
	target      *harness.Target
	recorder    *dispatchRecorder
	triggeredAt time.Time // just before the sign
}

// begin gives the sign.
func (l *leavingTarget) start(t *testing.T, f *harness.Fleet) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), leavingCallTimeout)
	defer cancel()
	if l.trigger == triggerReportOutage {
		assert.NilError(t, f.Platform.SetFaults(standin.Faults{TableDown: true, ObjectsDown: true, MembersDown: true}))
	}
	l.triggeredAt = time.Now()
	switch l.trigger {
	case triggerMembership:
		m := memberOf(ctx, t, f, l.target.ID)
		m.State = storage.MemberLeaving
		assert.NilError(t, f.Platform.PutMember(m))
	case triggerReport, triggerReportOutage:
		l.recorder.post(t, "/drain")
	case triggerDrainOrder:
		_, err := f.Operators[0].Client(f.Daemons[0]).Drain(ctx, l.target.ID)
		assert.NilError(t, err)
	case triggerKill:
		l.target.Kill()
	}
}

// end ends the outage that belongs to the sign. The target stays as it is.
func (l *leavingTarget) endOutage(t *testing.T, f *harness.Fleet) {
	t.Helper()
	if l.trigger == triggerReportOutage {
		assert.NilError(t, f.Platform.SetFaults(standin.Faults{}))
	}
}

// memberOf returns an entry of the membership list.
func memberOf(ctx context.Context, t *testing.T, f *harness.Fleet, id string) storage.Member {
	t.Helper()
	members, err := remote.New("http://"+f.Platform.Addr, leavingCallTimeout).Members(ctx)
	assert.NilError(t, err)
	for _, m := range members {
		if m.ID == id {
			return m
		}
	}
	t.Fatalf("%s is not in the membership list", id)
	return storage.Member{}
}
