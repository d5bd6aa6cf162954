package integration

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/access"
	"github.com/peppertrail/peppertrail/pkg/admin"
	"github.com/peppertrail/peppertrail/pkg/bundle"
	"github.com/peppertrail/peppertrail/test/harness"
)

// bundleRaceTimeout bounds one race between two operators.
const bundleRaceTimeout = 20 * time.Second

// bundleRace lets two operators propose different successors of one version at
// the same time, each through a different daemon.
type bundleRace struct {
	t        *testing.T
	fleet    *harness.Fleet
	versions *acceptedVersions
	base     bundle.Bundle // the version in force
}

// raceProposal is the proposal of one operator.
type raceProposal struct {
	bundle bundle.Bundle
	key    string // API key that only this proposal contains
	err    error  // result of submission and sign-off
}

// run runs one race and checks that exactly one proposal was accepted. It records the
// accepted version.
func (r *bundleRace) run(daemons ...*harness.Daemon) {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), bundleRaceTimeout)
	defer cancel()
	var proposals [2]raceProposal
	var both sync.WaitGroup
	for i := range proposals {
		proposals[i] = r.newProposal()
		both.Go(func() { proposals[i].err = r.propose(ctx, i, daemons[i%len(daemons)], proposals[i].bundle) })
	}
	both.Wait()
	current := r.current(ctx, daemons)
	assert.Equal(r.t, current.Version, r.base.Version+1, "results of the proposals: %v, %v", proposals[0].err, proposals[1].err)
	won := slices.IndexFunc(proposals[:], func(p raceProposal) bool {
		return slices.Contains(current.Customers[0].KeyHashes, access.HashAPIKey(p.key))
	})
	assert.Assert(r.t, won >= 0, "the version in force is neither proposal")
	assert.Assert(r.t, proposals[1-won].err != nil, "both proposals on version %d were accepted", r.base.Version)
	r.t.Logf("version %d is the proposal of operator %d, whose result was: %v; result of the other: %v", current.Version, won, proposals[won].err, proposals[1-won].err)
	r.base = current
	r.versions.add(proposals[won].key)
}

// newProposal returns a successor of the version in force with a new API key.
func (r *bundleRace) newProposal() raceProposal {
	next := r.base
	next.Base = r.base.Version
	next.Customers = slices.Clone(r.base.Customers)
	key := access.NewAPIKey()
	permanent := access.HashAPIKey(r.fleet.APIKey(next.Customers[0].ID))
	next.Customers[0].KeyHashes = []string{permanent, access.HashAPIKey(key)}
	return raceProposal{bundle: next, key: key}
}

// propose submits a bundle as one operator and signs it off as the other one. A call
// that fails as unavailable is repeated, because its outcome is unknown.
func (r *bundleRace) propose(ctx context.Context, author int, d *harness.Daemon, b bundle.Bundle) error {
	operators := r.fleet.Operators
	var submitted admin.SubmitReply
	err := retryUnavailable(ctx, func() (err error) {
		submitted, err = operators[author].Submit(ctx, d, b)
		return err
	})
	if err != nil {
		return fmt.Errorf("submit: %w", err)
	}
	return retryUnavailable(ctx, func() error {
		_, err := operators[1-author].SignOff(ctx, d, b, submitted.Progress.Digest)
		return err
	})
}

// current returns the version in force, read through the first daemon.
func (r *bundleRace) current(ctx context.Context, daemons []*harness.Daemon) bundle.Bundle {
	r.t.Helper()
	var accepted *bundle.Accepted
	err := retryUnavailable(ctx, func() (err error) {
		accepted, err = r.fleet.Operators[0].Client(daemons[0]).Current(ctx)
		return err
	})
	assert.NilError(r.t, err)
	return accepted.Bundle
}

// retryUnavailable repeats a call while it fails as unavailable, until ctx ends.
func retryUnavailable(ctx context.Context, call func() error) error {
	for {
		err := call()
		var failed *admin.Error
		if err == nil || ctx.Err() != nil || !errors.As(err, &failed) || failed.Code != admin.Unavailable {
			return err
		}
		time.Sleep(bundleProbeInterval)
	}
}
