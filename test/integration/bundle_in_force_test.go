package integration

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/peer"
	standin "github.com/peppertrail/peppertrail/pkg/standin/platform"
	"github.com/peppertrail/peppertrail/test/harness"
	"github.com/peppertrail/peppertrail/test/harness/proxy"
)

const (
	bundleDaemons = 5
	// bundleInForceTimeout is the time within which a version must be in force on each reachable
	// daemon.
	bundleInForceTimeout = 14 * time.Second
	// bundleCutDuration is longer than the holder TTL of 3 s. After the TTL the table no
	// longer lists a daemon that is cut off as live.
	bundleCutDuration = 5 * time.Second
	// bundlePauseDuration is longer than the holder TTL of 3 s.
	bundlePauseDuration = 4 * time.Second
	// bundleOutageDuration is how long the platform is down.
	bundleOutageDuration = 3 * time.Second
	// bundleCustomer owns the API keys that identify the versions.
	bundleCustomer = "regie"
)

// bundleTest is the state of TestBundleInForceEverywhereNeverReverts.
type bundleTest struct {
	t        *testing.T
	fleet    *harness.Fleet
	race     *bundleRace
	watchers []*bundleWatcher // by index of the daemon
}

// Guards against a version that does not reach a daemon that is cut off from the
// platform, was paused, was restarted or started late. Also guards against two accepted
// versions with the same base, and against a daemon that reverts to an older version or
// serves requests before it has one.
func TestBundleInForceEverywhereNeverReverts(t *testing.T) {
	seed := harness.Seed(t)
	f := harness.Start(t, harness.Options{
		Daemons:    bundleDaemons,
		EngineArgs: []string{"--token-ms", "2"},
		Customers:  []harness.Customer{{ID: bundleCustomer, Budget: "regie-main", Tokens: 1_000_000, CoverSeconds: 60, MinTokens: 10_000, MaxShare: 0.1}},
	})
	base := f.Bundle
	base.Version = 1
	versions := &acceptedVersions{}
	b := &bundleTest{t: t, fleet: f, race: &bundleRace{t: t, fleet: f, versions: versions, base: base}}
	stop := make(chan struct{})
	var watching sync.WaitGroup
	for _, d := range f.Daemons {
		w := newBundleWatcher(t, d, versions)
		b.watchers = append(b.watchers, w)
	}
	r := harness.Rand(seed, 0)
	order := r.Perm(bundleDaemons)
	late := order[0]
	f.Daemons[late].Kill()
	for _, w := range b.watchers {
		watching.Go(func() { w.run(stop) })
	}
	defer watching.Wait()
	defer close(stop)
	b.raceThrough(r, order[1:], order[1:], "no fault")
	b.cutOffOne(r, order[1], order[1:])
	b.pauseOne(r, order[2], order[1:])
	b.platformOutage(order[3], late, order)
	b.raceWithLostReplies(r, order)
	b.pushOldVersions(order)
	b.restartAll(order)
	b.pushOldVersions(order)
}

// raceThrough runs a race through two of the daemons and waits until the
// accepted version is in force on all reachable daemons.
func (b *bundleTest) raceThrough(r *rand.Rand, through, reachable []int, what string) {
	b.t.Helper()
	pick := r.Perm(len(through))
	b.race.run(b.fleet.Daemons[through[pick[0]]], b.fleet.Daemons[through[pick[1]]])
	b.await(reachable, what)
}

// await waits up to bundleInForceTimeout until the newest version is in force on daemons. Call it
// as soon as the version was accepted or the daemons became reachable.
func (b *bundleTest) await(daemons []int, what string) {
	b.t.Helper()
	version, _ := b.race.versions.newest()
	began := time.Now()
	for _, i := range daemons {
		w := b.watchers[i]
		harness.Eventually(b.t, max(0, bundleInForceTimeout-time.Since(began)), w.daemon.Name+" has the newest version in force: "+what, func() bool { return w.inForce(version) })
	}
	b.t.Logf("%s: version %d in force on %d daemons within %v", what, version, len(daemons), time.Since(began).Round(time.Millisecond))
}

// cutOffOne cuts a daemon off from the platform but not from its peers. One version is
// accepted at once and another one after the lease of the daemon has expired.
func (b *bundleTest) cutOffOne(r *rand.Rand, cut int, running []int) {
	b.t.Helper()
	others := without(running, cut)
	link := b.fleet.Daemons[cut].PlatformLink
	assert.NilError(b.t, link.SetRules(proxy.Cut()))
	b.raceThrough(r, others, running, "one daemon was just cut off from the platform")
	time.Sleep(bundleCutDuration)
	b.raceThrough(r, others, running, "one daemon is cut off from the platform beyond its lease")
	assert.NilError(b.t, link.Heal())
}

// pauseOne pauses a daemon while a version is accepted.
func (b *bundleTest) pauseOne(r *rand.Rand, paused int, running []int) {
	b.t.Helper()
	others := without(running, paused)
	b.fleet.Daemons[paused].Pause()
	b.raceThrough(r, others, others, "one daemon is paused")
	time.Sleep(bundlePauseDuration)
	b.fleet.Daemons[paused].Resume()
	b.await(running, "one daemon was resumed after a pause")
}

// platformOutage takes the platform down while one daemon restarts and another one
// starts late. These two must not serve before they have a version. The others must
// keep serving.
func (b *bundleTest) platformOutage(restarted, late int, all []int) {
	b.t.Helper()
	assert.NilError(b.t, b.fleet.Platform.SetFaults(standin.Faults{TableDown: true, ObjectsDown: true, MembersDown: true}))
	b.fleet.Daemons[restarted].Kill()
	for _, i := range []int{restarted, late} {
		b.fleet.Daemons[i].Launch(true)
	}
	for began := time.Now(); time.Since(began) < bundleOutageDuration; time.Sleep(bundleProbeInterval) {
		for _, i := range []int{restarted, late} {
			assert.Assert(b.t, !b.serves(i), "%s serves without a bundle", b.fleet.Daemons[i].Name)
		}
	}
	for _, i := range without(without(all, restarted), late) {
		assert.Assert(b.t, b.serves(i), "%s does not serve during the outage", b.fleet.Daemons[i].Name)
	}
	assert.NilError(b.t, b.fleet.Platform.SetFaults(standin.Faults{}))
	for _, i := range []int{restarted, late} {
		b.fleet.Daemons[i].AwaitStart()
	}
	b.await(all, "after the platform outage")
}

// raceWithLostReplies runs a race while replies of the table are lost after the commit.
func (b *bundleTest) raceWithLostReplies(r *rand.Rand, all []int) {
	b.t.Helper()
	assert.NilError(b.t, b.fleet.Platform.SetFaults(standin.Faults{LostReplyProbability: lostReplyShare}))
	b.raceThrough(r, all, all, "replies of the table are lost")
	assert.NilError(b.t, b.fleet.Platform.SetFaults(standin.Faults{}))
}

// restartAll kills and restarts every daemon. The watchers detect a daemon that comes
// back with an older version.
func (b *bundleTest) restartAll(all []int) {
	b.t.Helper()
	for _, i := range all {
		b.fleet.Daemons[i].Kill()
		b.fleet.Daemons[i].Restart()
	}
	b.await(all, "restarted")
	time.Sleep(4 * bundleProbeInterval)
}

// pushOldVersions pushes every older version to every daemon, like a peer that was
// paused before it sent them.
func (b *bundleTest) pushOldVersions(all []int) {
	b.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), bundleRaceTimeout)
	defer cancel()
	newest, _ := b.race.versions.newest()
	for version := uint64(1); version < newest; version++ {
		accepted, err := b.fleet.Operators[0].Client(b.fleet.Daemons[all[0]]).Version(ctx, version)
		assert.NilError(b.t, err)
		raw, err := accepted.Encode()
		assert.NilError(b.t, err)
		for _, i := range all {
			b.push(ctx, i, raw)
		}
	}
	time.Sleep(4 * bundleProbeInterval)
	b.await(all, "older versions were pushed")
}

// push sends a bundle to a daemon over the peer protocol.
func (b *bundleTest) push(ctx context.Context, i int, raw []byte) {
	b.t.Helper()
	client := peer.NewClient(b.fleet.Daemons[i].PeerLink.Addr(), peer.Options{})
	defer client.Close()
	assert.NilError(b.t, client.PushBundle(ctx, raw))
}

// serves reports whether a daemon accepts the API key that every version contains.
func (b *bundleTest) serves(i int) bool {
	return b.watchers[i].acceptsKey(b.fleet.APIKey(bundleCustomer))
}

// without returns all numbers except one.
func without(numbers []int, one int) []int {
	var rest []int
	for _, n := range numbers {
		if n != one {
			rest = append(rest, n)
		}
	}
	return rest
}
