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

// bundleRaceTimeout bounds one race of two operators.
const bundleRaceTimeout = 20 * time.Second

// bundleRace lets two operators propose different successors of one version at
// the same time, each through another daemon.
type bundleRace struct {
	t        *testing.T
	fleet    *harness.Fleet
	versions *acceptedVersions
	base     bundle.Bundle // in force
}

// bundleBid is the proposal of one operator.
type raceProposal struct {
	bundle bundle.Bundle
	key    string // API key that only this version knows
	err    error
}

// run runs the race through two daemons and returns the version that won.
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
	assert.Equal(r.t, current.Version, r.base.Version+1, "bids: %v, %v", proposals[0].err, proposals[1].err)
	won := slices.IndexFunc(proposals[:], func(b raceProposal) bool {
		return slices.Contains(current.Customers[0].KeyHashes, access.HashAPIKey(b.key))
	})
	assert.Assert(r.t, won >= 0, "the version in force is neither proposal")
	assert.Assert(r.t, proposals[1-won].err != nil, "both proposals on version %d were accepted", r.base.Version)
	r.t.Logf("version %d by operator %d, who got: %v, the other got: %v", current.Version, won, proposals[won].err, proposals[1-won].err)
	r.base = current
	r.versions.add(proposals[won].key)
}

// bid returns a successor of the version in force with a key of its own.
func (r *bundleRace) newProposal() raceProposal {
	next := r.base
	next.Base = r.base.Version
	next.Customers = slices.Clone(r.base.Customers)
	key := access.NewAPIKey()
	permanent := access.HashAPIKey(r.fleet.APIKey(next.Customers[0].ID))
	next.Customers[0].KeyHashes = []string{permanent, access.HashAPIKey(key)}
	return raceProposal{bundle: next, key: key}
}

// propose submits as one operator and signs off as the other. A call whose
// outcome is unknown is repeated.
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

// current reads the version in force from the table.
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

// repeatUnavailable repeats a call while its outcome is unknown.
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
