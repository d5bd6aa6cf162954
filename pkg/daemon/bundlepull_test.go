package daemon

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/access"
	"github.com/peppertrail/peppertrail/pkg/bundle"
	"github.com/peppertrail/peppertrail/pkg/cluster"
	"github.com/peppertrail/peppertrail/pkg/peer"
	standin "github.com/peppertrail/peppertrail/pkg/standin/platform"
)

// pullPoll is the poll interval of the daemons in these tests.
const pullPoll = time.Second

// acceptedBundle returns the first version of a fleet, as peers send it, and
// the operators who accepted it.
func acceptedBundle(t *testing.T) ([]byte, []bundle.Operator) {
	t.Helper()
	key, err := access.NewOperatorKey()
	assert.NilError(t, err)
	operators := []bundle.Operator{{Name: "ana", PublicKey: access.PublicKeyText(key)}}
	b := bundle.Normalized(bundle.Bundle{Operators: operators, RequiredSignoffs: 1})
	signature, err := bundle.Sign(b, "ana", key)
	assert.NilError(t, err)
	store := bundle.NewStore(standin.New().Local(), operators)
	_, err = store.Submit(t.Context(), bundle.Proposal{Author: "ana", Bundle: b, Signatures: []bundle.Signature{signature}})
	assert.NilError(t, err)
	w := bundle.NewWatcher(bundle.WatcherConfig{Store: store, Bootstrap: operators})
	assert.NilError(t, w.Poll(t.Context()))
	return w.Raw(), operators
}

// Guards against a daemon that stays at an old version because it is cut off
// from the platform and no peer pushes to it, and against one that asks its
// peers although the table answers.
func TestBundlePullAsksOnlyWhileUnconfirmed(t *testing.T) {
	raw, operators := acceptedBundle(t)
	now := time.Unix(1000, 0)
	w := bundle.NewWatcher(bundle.WatcherConfig{
		Store:     bundle.NewStore(standin.New().Local(), operators),
		Bootstrap: operators,
		Now:       func() time.Time { return now },
	})
	var asked []string
	var failure error
	pull := bundlePull{
		watcher: w,
		every:   pullPoll,
		peers:   func() []cluster.Peer { return []cluster.Peer{{Incarnation: "d1~1", Addr: "127.0.0.2:1"}} },
		self:    func() peer.Hello { return peer.Hello{BundleVersion: w.Version()} },
		greet: func(_ context.Context, addr string, _ peer.Hello) (peer.Hello, error) {
			asked = append(asked, addr)
			return peer.Hello{BundleVersion: 1, Bundle: raw}, failure
		},
	}
	pull.ask(t.Context())
	assert.Equal(t, len(asked), 0)
	now = now.Add(pullAfter * pullPoll)
	failure = errors.New("the peer does not answer")
	pull.ask(t.Context())
	assert.Equal(t, w.Version(), uint64(0))
	failure = nil
	pull.ask(t.Context())
	assert.Equal(t, w.Version(), uint64(1))
	assert.DeepEqual(t, asked, []string{"127.0.0.2:1", "127.0.0.2:1"})
}

// Guards against a puller that ends the daemon when it knows no peers.
func TestBundlePullWithoutPeers(t *testing.T) {
	w := bundle.NewWatcher(bundle.WatcherConfig{Store: bundle.NewStore(standin.New().Local(), nil)})
	pull := bundlePull{watcher: w, peers: func() []cluster.Peer { return nil }}
	pull.ask(t.Context())
	assert.Equal(t, w.Version(), uint64(0))
}
