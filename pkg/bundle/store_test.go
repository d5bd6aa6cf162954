package bundle

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/standin/faketable"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

// Guards against a bundle coming into force with only the author's signature,
// and against its version row or head being missing after acceptance.
func TestSubmitAndSignOff(t *testing.T) {
	ctx := context.Background()
	s := testStore(newFakeTable(), "s")
	_, err := s.Current(ctx)
	assert.ErrorIs(t, err, ErrNoBundle)

	first := sample(0)
	progress, err := s.Submit(ctx, proposalBy(t, first, "alice"))
	assert.NilError(t, err)
	assert.Assert(t, !progress.InForce)
	assert.DeepEqual(t, progress.Missing, []string{"bob"})
	_, err = s.Current(ctx)
	assert.ErrorIs(t, err, ErrNoBundle)

	progress, err = s.SignOff(ctx, progress.Digest, signed(t, first, "bob")[0])
	assert.NilError(t, err)
	assert.Assert(t, progress.InForce)
	current, err := s.Current(ctx)
	assert.NilError(t, err)
	assert.Equal(t, current.Bundle.Version, uint64(1))
	again, err := s.Get(ctx, 1)
	assert.NilError(t, err)
	assert.DeepEqual(t, again.Bundle, current.Bundle)
	_, err = s.Get(ctx, 2)
	assert.ErrorIs(t, err, ErrNoVersion)
}

// Guards against an error when a submission or sign-off that already took effect
// is repeated.
func TestSubmitAndSignOffAreIdempotent(t *testing.T) {
	ctx := context.Background()
	s := testStore(newFakeTable(), "s")
	first := sample(0)
	_, err := s.Submit(ctx, proposalBy(t, first, "alice"))
	assert.NilError(t, err)
	progress, err := s.Submit(ctx, proposalBy(t, first, "alice"))
	assert.NilError(t, err)
	assert.DeepEqual(t, progress.SignedBy, []string{"alice"})
	for range 2 {
		progress, err = s.SignOff(ctx, progress.Digest, signed(t, first, "bob")[0])
		assert.NilError(t, err)
		assert.Assert(t, progress.InForce)
	}
	current, err := s.Current(ctx)
	assert.NilError(t, err)
	assert.Equal(t, current.Bundle.Version, uint64(1))
}

// Guards against a conflict error that does not name the version in force, after
// a competing proposal was accepted first.
func TestCompetingProposalConflicts(t *testing.T) {
	ctx := context.Background()
	table := newFakeTable()
	s := testStore(table, "s")
	bringIntoForce(t, s, sample(0))
	competing := sample(1)
	competing.Customers[0].MaxPriority = 3
	progress, err := s.Submit(ctx, proposalBy(t, competing, "carol"))
	assert.NilError(t, err)
	// The other proposal is accepted between the read and the commit of secondStore.
	secondStore := testStore(table, "loser")
	acceptedFirst := sample(1)
	acceptedFirst.Customers[0].MaxPriority = 4
	table.beforeCommit = func() { bringIntoForce(t, s, acceptedFirst) }
	_, err = secondStore.SignOff(ctx, progress.Digest, signed(t, competing, "bob")[0])
	var conflict *ConflictError
	assert.Assert(t, errors.As(err, &conflict), "%v", err)
	assert.Equal(t, conflict.InForce, uint64(2))
	current, err := s.Current(ctx)
	assert.NilError(t, err)
	assert.Equal(t, current.Bundle.Customers[0].MaxPriority, 4)
}

// Guards against signatures by signers who are not operators being stored and
// counted later.
func TestSignOffRejectsNonOperators(t *testing.T) {
	ctx := context.Background()
	s := testStore(newFakeTable(), "s")
	_, err := s.Submit(ctx, proposalBy(t, sample(0), "mallory"))
	assert.ErrorIs(t, err, ErrSignature)
	p := proposalBy(t, sample(0), "alice")
	p.Author = "bob"
	_, err = s.Submit(ctx, p)
	assert.ErrorIs(t, err, ErrSignature)
	progress, err := s.Submit(ctx, proposalBy(t, sample(0), "alice"))
	assert.NilError(t, err)
	_, err = s.SignOff(ctx, progress.Digest, signed(t, sample(0), "carol")[0])
	assert.ErrorIs(t, err, ErrSignature)
	_, err = s.SignOff(ctx, "no-such-digest", signed(t, sample(0), "bob")[0])
	assert.ErrorIs(t, err, ErrNoProposal)
}

// Guards against a lost reply being reported as a failure or applied twice.
func TestLostReplyIsAppliedOnce(t *testing.T) {
	table := newFakeTable()
	s := testStore(table, "s")
	faults := []faketable.Fault{faketable.LostReply, faketable.LostRequest, faketable.NoFault, faketable.LostReply, faketable.LostReply, faketable.NoFault}
	table.Fault = func(storage.Txn) faketable.Fault {
		if len(faults) == 0 {
			return faketable.NoFault
		}
		f := faults[0]
		faults = faults[1:]
		return f
	}
	bringIntoForce(t, s, sample(0))
	assert.Equal(t, table.commits, 6)
	assert.Equal(t, table.Revision(), uint64(2))
}

// Guards against a table outage being reported as a rejected proposal.
func TestOutageReturnsErrUnavailable(t *testing.T) {
	ctx := context.Background()
	table := newFakeTable()
	s := testStore(table, "s")
	table.Fault = func(storage.Txn) faketable.Fault { return faketable.LostRequest }
	_, err := s.Submit(ctx, proposalBy(t, sample(0), "alice"))
	assert.ErrorIs(t, err, storage.ErrUnavailable)
	table.SetDown(true)
	_, err = s.Current(ctx)
	assert.ErrorIs(t, err, storage.ErrUnavailable)
}

// Guards against one undecodable row making Proposals fail, and against
// superseded proposals accumulating in the table.
func TestUnreadableAndSupersededProposals(t *testing.T) {
	ctx := context.Background()
	table := newFakeTable()
	s := testStore(table, "s")
	bringIntoForce(t, s, sample(0))
	open := sample(1)
	open.Customers[0].MaxPriority = 1
	_, err := s.Submit(ctx, proposalBy(t, open, "carol"))
	assert.NilError(t, err)
	table.Set(ProposalKey("bad"), `{"x":1}`)
	list, err := s.Proposals(ctx)
	assert.NilError(t, err)
	assert.DeepEqual(t, list.Unreadable, []string{"proposal/bad"})
	assert.Equal(t, len(list.Proposals), 2)

	bringIntoForce(t, s, sample(1))
	list, err = s.Proposals(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(list.Proposals), 2)
	assert.Equal(t, countSuperseded(list), 1)

	bringIntoForce(t, s, sample(2))
	list, err = s.Proposals(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(list.Proposals), 1)
	assert.Equal(t, countSuperseded(list), 0)
}

func countSuperseded(list ProposalList) int {
	n := 0
	for _, p := range list.Proposals {
		if p.Superseded {
			n++
		}
	}
	return n
}

// Guards against an accepted version being replaced after a manual reset of the head.
func TestResetHeadDoesNotReplaceVersion(t *testing.T) {
	ctx := context.Background()
	table := newFakeTable()
	s := testStore(table, "s")
	bringIntoForce(t, s, sample(0))
	table.Remove(HeadKey)
	other := sample(0)
	other.Customers[0].MaxPriority = 9
	progress, err := s.Submit(ctx, proposalBy(t, other, "alice"))
	assert.NilError(t, err)
	_, err = s.SignOff(ctx, progress.Digest, signed(t, other, "bob")[0])
	assert.ErrorIs(t, err, ErrCorrupt)
}
