package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/lease"
	standin "github.com/peppertrail/peppertrail/pkg/standin/platform"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

func record(i int, region string) lease.HolderRecord {
	return lease.HolderRecord{Incarnation: fmt.Sprintf("d%04d", i), PeerAddr: fmt.Sprintf("addr-%04d", i), Region: region}
}

func register(t *testing.T, table storage.Table, r lease.HolderRecord) {
	t.Helper()
	_, err := lease.Register(t.Context(), table, r)
	assert.NilError(t, err)
}

// Guards against rows beyond the first scan page being skipped, and against
// budgets with a home in another region.
func TestViewOfManyDaemons(t *testing.T) {
	table := standin.New().Local()
	const daemons = scanPageSize + 20
	for i := range daemons {
		register(t, table, record(i, []string{"east", "west"}[i%2]))
	}
	v := NewView(Options{Table: table, Self: record(0, "east")})
	assert.NilError(t, v.Poll(t.Context()))
	assert.Equal(t, len(v.Peers()), daemons)
	homes := v.HomeCandidates("budget", "west")
	assert.Equal(t, len(homes), daemons/2)
	for _, p := range homes {
		assert.Equal(t, p.Region, "west")
	}
	assert.Equal(t, len(v.HomeCandidates("budget", "north")), 0)
}

// Guards against daemons that read the same rows selecting different homes.
func TestDaemonsSelectSameHomes(t *testing.T) {
	table := standin.New().Local()
	var views []*View
	for i := range 5 {
		register(t, table, record(i, "east"))
		views = append(views, NewView(Options{Table: table, Self: record(i, "east")}))
	}
	for _, v := range views {
		assert.NilError(t, v.Poll(t.Context()))
	}
	for b := range 50 {
		budget := fmt.Sprintf("b%d", b)
		for _, v := range views[1:] {
			assert.DeepEqual(t, v.HomeCandidates(budget, "east"), views[0].HomeCandidates(budget, "east"))
		}
	}
}

// Guards against more homes than the write capacity of the table allows,
// against daemons selecting different homes, and against an unreachable home
// that is not replaced by another daemon.
func TestHomesAreLimited(t *testing.T) {
	table := standin.New().Local()
	const daemons, limit = 40, 5
	var views []*View
	for i := range daemons {
		r := record(i, []string{"east", "west"}[i%2])
		register(t, table, r)
		views = append(views, NewView(Options{Table: table, Self: r, Homes: limit}))
	}
	seen := make(map[string]bool)
	for _, v := range views {
		assert.NilError(t, v.Poll(t.Context()))
		for b := range 50 {
			homes := v.HomeCandidates(fmt.Sprintf("b%d", b), "east")
			assert.Equal(t, len(homes), limit)
			seen[homes[0].Incarnation] = true
		}
	}
	assert.Equal(t, len(seen), limit)
	homesBefore := views[0].HomeCandidates("b0", "east")
	views[0].MarkUnreachable(homesBefore[0].Incarnation)
	homesAfter := views[0].HomeCandidates("b0", "east")
	assert.Equal(t, len(homesAfter), limit)
	for _, p := range homesAfter {
		assert.Assert(t, p.Incarnation != homesBefore[0].Incarnation)
	}
}

// Guards against requests being sent to a peer that this daemon just failed to
// reach, and against that peer being excluded permanently.
func TestUnreachablePeerIsExcludedTemporarily(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.New().Local()
		register(t, table, record(0, "east"))
		register(t, table, record(1, "east"))
		v := NewView(Options{Table: table, Self: record(0, "east")})
		assert.NilError(t, v.Poll(t.Context()))
		v.MarkUnreachable("d0001")
		v.MarkUnreachable("d0000") // itself
		assert.DeepEqual(t, v.Peers(), []Peer{peerOf(record(0, "east"))})
		time.Sleep(DefaultUnreachableTimeout)
		assert.Equal(t, len(v.Peers()), 2)
	})
}

// Guards against settlements that cannot reach the holder of their grant
// because it was marked unreachable when it refused a reservation shortly before.
func TestLiveAddrIncludesUnreachablePeer(t *testing.T) {
	table := standin.New().Local()
	register(t, table, record(0, "east"))
	register(t, table, record(1, "east"))
	v := NewView(Options{Table: table, Self: record(0, "east")})
	assert.NilError(t, v.Poll(t.Context()))
	v.MarkUnreachable("d0001")
	addr, live := v.LiveAddr("d0001")
	assert.Assert(t, live)
	assert.Equal(t, addr, record(1, "east").PeerAddr)
	_, live = v.LiveAddr("d0002")
	assert.Assert(t, !live)
}

// Guards against a view that loses peers while the table is down, and against
// a Run loop that ends at the first error.
func TestRunThroughOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := standin.New()
		table := server.Local()
		register(t, table, record(0, "east"))
		register(t, table, record(1, "east"))
		v := NewView(Options{Table: table, Self: record(0, "east")})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go v.Run(ctx)
		synctest.Wait()
		assert.Equal(t, len(v.Peers()), 2)
		assert.NilError(t, server.SetFaults(standin.Faults{TableDown: true}))
		time.Sleep(time.Hour)
		assert.Equal(t, len(v.Peers()), 2)
		assert.Assert(t, time.Since(v.LastScan()) >= time.Hour)
		assert.NilError(t, server.SetFaults(standin.Faults{}))
		register(t, table, record(2, "east"))
		time.Sleep(DefaultMaxScanInterval)
		synctest.Wait() // the scan starts at the instant at which the sleep ends
		assert.Equal(t, len(v.Peers()), 3)
	})
}

// Guards against one row that cannot be decoded preventing the others from being read.
func TestBadRowIsSkipped(t *testing.T) {
	table := standin.New().Local()
	register(t, table, record(1, "east"))
	_, err := table.Commit(t.Context(), storage.Txn{ID: "bad", Puts: []storage.Put{
		{Key: lease.HolderKey("x"), Value: json.RawMessage(`"x"`)},
		{Key: lease.HolderKey("y"), Value: json.RawMessage(`{"incarnation":"z"}`)},
	}})
	assert.NilError(t, err)
	var bad []string
	v := NewView(Options{Table: table, OnBadRow: func(key string, _ error) { bad = append(bad, key) }})
	assert.NilError(t, v.Poll(t.Context()))
	assert.Equal(t, len(v.Peers()), 1)
	assert.DeepEqual(t, bad, []string{lease.HolderKey("x"), lease.HolderKey("y")})
}

// Guards against a view that lacks this daemon before the first scan or while
// its row is missing from the table.
func TestSelfIsAlwaysLive(t *testing.T) {
	v := NewView(Options{Table: standin.New().Local(), Self: record(0, "east")})
	assert.Equal(t, len(v.HomeCandidates("b", "east")), 1)
	assert.NilError(t, v.Poll(t.Context()))
	assert.Equal(t, len(v.HomeCandidates("b", "east")), 1)
}
