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
type leavingSign string

// Signs of leaving.
const (
	signMembership   leavingSign = "membership leaving"
	signReport       leavingSign = "report draining"
	signReportOutage leavingSign = "report draining during a platform outage"
	signOrder        leavingSign = "operator's drain order"
	signDeath        leavingSign = "death"
)

const (
	// leavingLimit is drain_seconds of the design.
	leavingLimit = 3 * time.Second
	// leavingOrderLimit adds the interval in which other daemons read drain orders.
	leavingOrderLimit = leavingLimit + 2*time.Second
	// leavingCall bounds a call of the test to platform or daemon.
	leavingCall = 10 * time.Second
)

// limit returns how long dispatches may go on after the sign.
func (s leavingSign) limit() time.Duration {
	if s == signOrder {
		return leavingOrderLimit
	}
	return leavingLimit
}

// leaving is a target that leaves.
type leaving struct {
	sign   leavingSign
	target *harness.Target
	front  *leavingFront
	began  time.Time // just before the sign
}

// begin gives the sign.
func (l *leaving) begin(t *testing.T, f *harness.Fleet) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), leavingCall)
	defer cancel()
	if l.sign == signReportOutage {
		assert.NilError(t, f.Platform.SetFaults(standin.Faults{TableDown: true, ObjectsDown: true, MembersDown: true}))
	}
	l.began = time.Now()
	switch l.sign {
	case signMembership:
		m := memberOf(ctx, t, f, l.target.ID)
		m.State = storage.MemberLeaving
		assert.NilError(t, f.Platform.PutMember(m))
	case signReport, signReportOutage:
		l.front.post(t, "/drain")
	case signOrder:
		_, err := f.Operators[0].Client(f.Daemons[0]).Drain(ctx, l.target.ID)
		assert.NilError(t, err)
	case signDeath:
		l.target.Kill()
	}
}

// end ends the outage that belongs to the sign. The target stays as it is.
func (l *leaving) end(t *testing.T, f *harness.Fleet) {
	t.Helper()
	if l.sign == signReportOutage {
		assert.NilError(t, f.Platform.SetFaults(standin.Faults{}))
	}
}

// memberOf returns an entry of the membership list.
func memberOf(ctx context.Context, t *testing.T, f *harness.Fleet, id string) storage.Member {
	t.Helper()
	members, err := remote.New("http://"+f.Platform.Addr, leavingCall).Members(ctx)
	assert.NilError(t, err)
	for _, m := range members {
		if m.ID == id {
			return m
		}
	}
	t.Fatalf("%s is not in the membership list", id)
	return storage.Member{}
}
