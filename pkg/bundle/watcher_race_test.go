package bundle

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a poll replacing a higher version that a peer pushed while the
// poll was reading the table, and against that poll counting as a confirmation
// of the pushed version.
func TestPushDuringPoll(t *testing.T) {
	ctx := context.Background()
	table := newFakeTable()
	s := testStore(table, "s")
	clock := &testClock{now: time.Unix(1000, 0)}
	var adopted []uint64
	w := testWatcher(s, clock, &adopted)
	bringIntoForce(t, s, sample(0))
	assert.NilError(t, w.Poll(ctx))
	bringIntoForce(t, s, sample(1))
	clock.now = clock.now.Add(time.Minute)
	table.beforeGet = func(keys []string) {
		if !slices.Contains(keys, VersionKey(2)) {
			return
		}
		table.beforeGet = nil
		bringIntoForce(t, s, sample(2))
		ok, err := w.Offer(encodedVersion(t, s, 3))
		assert.NilError(t, err)
		assert.Assert(t, ok)
	}
	assert.NilError(t, w.Poll(ctx))
	assert.DeepEqual(t, adopted, []uint64{1, 3})
	assert.Equal(t, w.Unconfirmed(), time.Minute)
	assert.NilError(t, w.Poll(ctx))
	assert.Equal(t, w.Unconfirmed(), time.Duration(0))
}

// Guards against adoptions out of order, and against a data race, when polls,
// pushes and reads run concurrently.
func TestConcurrentPollsAndPushes(t *testing.T) {
	ctx := context.Background()
	s := testStore(newFakeTable(), "s")
	const versions = 6
	var raws [][]byte
	for v := range uint64(versions) {
		bringIntoForce(t, s, sample(v))
		raws = append(raws, encodedVersion(t, s, v+1))
	}
	var adopted []uint64 // written under the watcher's lock
	w := testWatcher(s, &testClock{}, &adopted)
	var group sync.WaitGroup
	for i := range 4 {
		group.Go(func() {
			last := uint64(0)
			for j := range raws {
				if _, err := w.Offer(raws[(i+j)%versions]); err != nil {
					t.Errorf("offer: %v", err)
				}
				now := w.Version()
				if now < last {
					t.Errorf("version decreased from %d to %d", last, now)
				}
				last = now
			}
		})
	}
	group.Go(func() {
		if err := w.Poll(ctx); err != nil {
			t.Errorf("poll: %v", err)
		}
	})
	group.Wait()
	assert.Equal(t, w.Version(), uint64(versions))
	assert.Assert(t, slices.IsSorted(adopted))
	assert.Equal(t, len(slices.Compact(slices.Clone(adopted))), len(adopted))
}
