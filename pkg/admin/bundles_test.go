package admin

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/budget"
	"github.com/peppertrail/peppertrail/pkg/bundle"
	"github.com/peppertrail/peppertrail/pkg/lease"
)

// Guards against bundle endpoints that fail to bring a bundle into force or to return
// it.
func TestBundleEndpoints(t *testing.T) {
	ctx := context.Background()
	f := newTestServer(t)
	_, err := f.clientAs("alice").Current(ctx)
	requireError(t, err, NotFound, "no bundle is in force")

	reply, err := f.clientAs("alice").Submit(ctx, proposalBy(t, sampleBundle(0), "alice"))
	assert.NilError(t, err)
	assert.DeepEqual(t, reply.Progress.Missing, []string{"bob"})
	assert.Equal(t, len(reply.Warnings), 3)
	list, err := f.clientAs("bob").Proposals(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(list.Proposals), 1)
	p, err := f.clientAs("bob").Proposal(ctx, reply.Progress.Digest)
	assert.NilError(t, err)
	s, err := bundle.Sign(p.Bundle, "bob", operatorKey("bob"))
	assert.NilError(t, err)
	reply, err = f.clientAs("bob").SignOff(ctx, reply.Progress.Digest, s)
	assert.NilError(t, err)
	assert.Assert(t, reply.Progress.InForce)

	current, err := f.clientAs("bob").Current(ctx)
	assert.NilError(t, err)
	assert.Equal(t, current.Bundle.Version, uint64(1))
	version, err := f.clientAs("bob").Version(ctx, 1)
	assert.NilError(t, err)
	assert.DeepEqual(t, version.Bundle, current.Bundle)
	_, err = f.clientAs("bob").Version(ctx, 2)
	requireError(t, err, NotFound)
	_, err = f.clientAs("bob").Version(ctx, 0)
	requireError(t, err, BadRequest, "whole numbers from 1")
}

// Guards against invalid input that is stored or refused without a message that says
// what to change.
func TestSubmitRefusals(t *testing.T) {
	ctx := context.Background()
	f := newTestServerWithBundle(t)
	_, err := f.clientAs("alice").Submit(ctx, proposalBy(t, sampleBundle(0), "alice"))
	assert.NilError(t, err) // submitting the bundle in force again is no error

	stale := sampleBundle(0)
	stale.Customers[0].MaxPriority = 1
	_, err = f.clientAs("alice").Submit(ctx, proposalBy(t, stale, "alice"))
	e := requireError(t, err, Conflict, "version 1 is in force")
	assert.Equal(t, e.InForce, uint64(1))

	bad := sampleBundle(1)
	bad.Customers[0].MaxPriority = 99
	_, err = f.clientAs("alice").Submit(ctx, proposalBy(t, bad, "alice"))
	e = requireError(t, err, BadRequest, "max_priority")
	assert.Equal(t, e.Problems[0].Path, "customers[0].max_priority")

	_, err = f.clientAs("alice").Submit(ctx, proposalBy(t, sampleBundle(1), "bob"))
	requireError(t, err, Forbidden, "sign off")
	p := proposalBy(t, sampleBundle(1), "alice")
	p.Signatures[0].Value = proposalBy(t, stale, "alice").Signatures[0].Value
	_, err = f.clientAs("alice").Submit(ctx, p)
	requireError(t, err, Forbidden, "does not match")
	err = f.clientAs("alice").do(ctx, request{method: "POST", path: "/bundles", body: map[string]any{"authr": 1}}, nil)
	requireError(t, err, BadRequest, "authr")

	reply, err := f.clientAs("alice").Submit(ctx, proposalBy(t, sampleBundle(1), "alice"))
	assert.NilError(t, err)
	s := proposalBy(t, sampleBundle(1), "alice").Signatures[0]
	_, err = f.clientAs("bob").SignOff(ctx, reply.Progress.Digest, s)
	requireError(t, err, Forbidden, "alice")
	_, err = f.clientAs("alice").SignOff(ctx, "nope", s)
	requireError(t, err, NotFound, "version 1 is in force")
}

// Guards against a bundle that assigns the budget of one customer to another.
func TestSubmitChecksBudgetOwner(t *testing.T) {
	ctx := context.Background()
	f := newTestServerWithBundle(t)
	f.putRow(t, budget.BudgetKey("office-main"), budget.Record{ID: "office-main", Customer: "regie"})
	_, err := f.clientAs("alice").Submit(ctx, proposalBy(t, sampleBundle(1), "alice"))
	requireError(t, err, BadRequest, "customers[1].budget", `belongs to "regie"`)
}

// Guards against a status that leaves out hosts with an older bundle version.
func TestStatusCountsHoldersBehind(t *testing.T) {
	ctx := context.Background()
	f := newTestServerWithBundle(t)
	f.putRow(t, lease.HolderKey("a"), lease.HolderRecord{Incarnation: "a", Host: "h2", BundleVersion: 1})
	f.putRow(t, lease.HolderKey("b"), lease.HolderRecord{Incarnation: "b", Host: "h1", BundleVersion: 0})
	f.putRow(t, lease.HolderKey("c"), lease.HolderRecord{Incarnation: "c", Host: "h3", Fenced: true})
	f.table.Set(lease.HolderKey("d"), "[]")
	f.backend.live = []string{"a"}
	status, err := f.clientAs("alice").Status(ctx)
	assert.NilError(t, err)
	assert.Equal(t, status.InForce.Version, uint64(1))
	assert.Equal(t, status.HeldVersion, uint64(1))
	assert.Equal(t, status.Behind, 1)
	assert.DeepEqual(t, status.Unreadable, []string{"holder/d"})
	assert.Equal(t, status.Holders[0].Host, "h1")
	hosts, err := f.clientAs("alice").Hosts(ctx)
	assert.NilError(t, err)
	assert.Assert(t, !hosts.Holders[0].Live && hosts.Holders[1].Live)
}
