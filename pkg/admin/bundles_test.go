package admin

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/budget"
	"github.com/peppertrail/peppertrail/pkg/bundle"
	"github.com/peppertrail/peppertrail/pkg/lease"
)

// Guards against a bundle that cannot be brought into force or read back.
func TestBundleEndpoints(t *testing.T) {
	ctx := context.Background()
	f := newFleet(t)
	_, err := f.as("alice").Current(ctx)
	mustFail(t, err, NotFound, "no bundle is in force")

	reply, err := f.as("alice").Submit(ctx, proposalBy(t, sample(0), "alice"))
	assert.NilError(t, err)
	assert.DeepEqual(t, reply.Progress.Missing, []string{"bob"})
	assert.Equal(t, len(reply.Warnings), 3)
	list, err := f.as("bob").Proposals(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(list.Proposals), 1)
	p, err := f.as("bob").Proposal(ctx, reply.Progress.Digest)
	assert.NilError(t, err)
	s, err := bundle.Sign(p.Bundle, "bob", keyOf("bob"))
	assert.NilError(t, err)
	reply, err = f.as("bob").SignOff(ctx, reply.Progress.Digest, s)
	assert.NilError(t, err)
	assert.Assert(t, reply.Progress.InForce)

	current, err := f.as("bob").Current(ctx)
	assert.NilError(t, err)
	assert.Equal(t, current.Bundle.Version, uint64(1))
	version, err := f.as("bob").Version(ctx, 1)
	assert.NilError(t, err)
	assert.DeepEqual(t, version.Bundle, current.Bundle)
	_, err = f.as("bob").Version(ctx, 2)
	mustFail(t, err, NotFound)
	_, err = f.as("bob").Version(ctx, 0)
	mustFail(t, err, BadRequest, "whole numbers from 1")
}

// Guards against bad input being stored or answered without saying what to change.
func TestSubmitRefusals(t *testing.T) {
	ctx := context.Background()
	f := newServing(t)
	_, err := f.as("alice").Submit(ctx, proposalBy(t, sample(0), "alice"))
	assert.NilError(t, err) // already in force

	stale := sample(0)
	stale.Customers[0].MaxPriority = 1
	_, err = f.as("alice").Submit(ctx, proposalBy(t, stale, "alice"))
	e := mustFail(t, err, Conflict, "version 1 is in force")
	assert.Equal(t, e.InForce, uint64(1))

	bad := sample(1)
	bad.Customers[0].MaxPriority = 99
	_, err = f.as("alice").Submit(ctx, proposalBy(t, bad, "alice"))
	e = mustFail(t, err, BadRequest, "max_priority")
	assert.Equal(t, e.Problems[0].Path, "customers[0].max_priority")

	_, err = f.as("alice").Submit(ctx, proposalBy(t, sample(1), "bob"))
	mustFail(t, err, Forbidden, "sign off")
	p := proposalBy(t, sample(1), "alice")
	p.Signatures[0].Value = proposalBy(t, stale, "alice").Signatures[0].Value
	_, err = f.as("alice").Submit(ctx, p)
	mustFail(t, err, Forbidden, "does not match")
	err = f.as("alice").do(ctx, request{method: "POST", path: "/bundles", body: map[string]any{"authr": 1}}, nil)
	mustFail(t, err, BadRequest, "authr")

	reply, err := f.as("alice").Submit(ctx, proposalBy(t, sample(1), "alice"))
	assert.NilError(t, err)
	s := proposalBy(t, sample(1), "alice").Signatures[0]
	_, err = f.as("bob").SignOff(ctx, reply.Progress.Digest, s)
	mustFail(t, err, Forbidden, "alice")
	_, err = f.as("alice").SignOff(ctx, "nope", s)
	mustFail(t, err, NotFound, "version 1 is in force")
}

// Guards against a bundle that gives a customer the budget of another one.
func TestSubmitChecksBudgetOwner(t *testing.T) {
	ctx := context.Background()
	f := newServing(t)
	f.put(t, budget.BudgetKey("office-main"), budget.Record{ID: "office-main", Customer: "regie"})
	_, err := f.as("alice").Submit(ctx, proposalBy(t, sample(1), "alice"))
	mustFail(t, err, BadRequest, "customers[1].budget", `belongs to "regie"`)
}

// Guards against a host that lags behind not being shown.
func TestStatus(t *testing.T) {
	ctx := context.Background()
	f := newServing(t)
	f.put(t, lease.HolderKey("a"), lease.HolderRecord{Incarnation: "a", Host: "h2", BundleVersion: 1})
	f.put(t, lease.HolderKey("b"), lease.HolderRecord{Incarnation: "b", Host: "h1", BundleVersion: 0})
	f.put(t, lease.HolderKey("c"), lease.HolderRecord{Incarnation: "c", Host: "h3", Fenced: true})
	f.table.Set(lease.HolderKey("d"), "[]")
	f.backend.live = []string{"a"}
	status, err := f.as("alice").Status(ctx)
	assert.NilError(t, err)
	assert.Equal(t, status.InForce.Version, uint64(1))
	assert.Equal(t, status.HeldVersion, uint64(1))
	assert.Equal(t, status.Behind, 1)
	assert.DeepEqual(t, status.Unreadable, []string{"holder/d"})
	assert.Equal(t, status.Holders[0].Host, "h1")
	hosts, err := f.as("alice").Hosts(ctx)
	assert.NilError(t, err)
	assert.Assert(t, !hosts.Holders[0].Live && hosts.Holders[1].Live)
}
