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

// testPollInterval is the bundle poll interval in these tests.
const testPollInterval = time.Second

// acceptedBundle returns the encoded first bundle version of a fleet, in the form
// that peers send, and the operators who signed it.
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

// Guards against a daemon that keeps an old bundle version because it has lost
// its connection to the platform and no peer pushes to it, and against a daemon
// that sends requests to its peers although the table confirms its version. A
// failed exchange must not prevent the next one.
func TestPeersAreQueriedOnlyWhileBundleIsUnconfirmed(t *testing.T) {
	raw, operators := acceptedBundle(t)
	now := time.Unix(1000, 0)
	w := bundle.NewWatcher(bundle.WatcherConfig{
		Store:     bundle.NewStore(standin.New().Local(), operators),
		Bootstrap: operators,
		Now:       func() time.Time { return now },
	})
	var queried []string
	var exchangeErr error
	pull := bundlePull{
		watcher:  w,
		interval: testPollInterval,
		peers:    func() []cluster.Peer { return []cluster.Peer{{Incarnation: "d1~1", Addr: "127.0.0.2:1"}} },
		ownHello: func() peer.Hello { return peer.Hello{BundleVersion: w.Version()} },
		exchangeHello: func(_ context.Context, addr string, _ peer.Hello) (peer.Hello, error) {
			queried = append(queried, addr)
			return peer.Hello{BundleVersion: 1, Bundle: raw}, exchangeErr
		},
	}
	pull.pullIfUnconfirmed(t.Context())
	assert.Equal(t, len(queried), 0)
	now = now.Add(unconfirmedPollsBeforePull * testPollInterval)
	exchangeErr = errors.New("peer does not answer")
	pull.pullIfUnconfirmed(t.Context())
	assert.Equal(t, w.Version(), uint64(0))
	exchangeErr = nil
	pull.pullIfUnconfirmed(t.Context())
	assert.Equal(t, w.Version(), uint64(1))
	assert.DeepEqual(t, queried, []string{"127.0.0.2:1", "127.0.0.2:1"})
}

// Guards against a panic when the daemon knows no peers.
func TestBundlePullWithoutPeers(t *testing.T) {
	w := bundle.NewWatcher(bundle.WatcherConfig{Store: bundle.NewStore(standin.New().Local(), nil)})
	pull := bundlePull{watcher: w, peers: func() []cluster.Peer { return nil }}
	pull.pullIfUnconfirmed(t.Context())
	assert.Equal(t, w.Version(), uint64(0))
}
