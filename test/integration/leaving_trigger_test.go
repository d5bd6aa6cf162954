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

// leavingTrigger is the event that makes a target leave.
type leavingTrigger string

// Triggers of leaving.
const (
	triggerMembership   leavingTrigger = "membership leaving"
	triggerReport       leavingTrigger = "report draining"
	triggerReportOutage leavingTrigger = "report draining during a platform outage"
	triggerDrainOrder   leavingTrigger = "operator's drain order"
	triggerKill         leavingTrigger = "kill"
)

const (
	// leavingLimit is the time in which every daemon must stop dispatching to a leaving
	// target.
	leavingLimit = 3 * time.Second
	// leavingDrainOrderLimit is leavingLimit plus the interval at which the other daemons
	// read drain orders.
	leavingDrainOrderLimit = leavingLimit + 2*time.Second
	// leavingCallTimeout bounds a call of the test to the platform or a daemon.
	leavingCallTimeout = 10 * time.Second
)

// limit returns how long after the trigger a dispatch is still allowed.
func (k leavingTrigger) limit() time.Duration {
	if k == triggerDrainOrder {
		return leavingDrainOrderLimit
	}
	return leavingLimit
}

// leavingTarget is a target that leaves during the test.
type leavingTarget struct {
	trigger     leavingTrigger
	target      *harness.Target
	recorder    *dispatchRecorder
	triggeredAt time.Time // time just before the trigger
}

// fireTrigger carries out the trigger.
func (l *leavingTarget) fireTrigger(t *testing.T, f *harness.Fleet) {
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

// endOutage ends the platform outage that belongs to the trigger. The target keeps
// its state.
func (l *leavingTarget) endOutage(t *testing.T, f *harness.Fleet) {
	t.Helper()
	if l.trigger == triggerReportOutage {
		assert.NilError(t, f.Platform.SetFaults(standin.Faults{}))
	}
}

// memberOf returns the entry of a target in the membership list.
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
