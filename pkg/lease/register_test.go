package lease

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	standin "github.com/peppertrail/peppertrail/pkg/standin/platform"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

// Guards against a second daemon that writes under the same incarnation.
func TestRegisterRejectsRegisteredIncarnation(t *testing.T) {
	table := standin.New().Local()
	record := HolderRecord{Incarnation: "d1", Host: "h1", PeerAddr: "127.0.0.1:1"}
	version, err := Register(t.Context(), table, record)
	assert.NilError(t, err)
	rows, err := table.Get(t.Context(), HolderKey("d1"))
	assert.NilError(t, err)
	assert.Equal(t, rows[0].Version, version)
	var got HolderRecord
	assert.NilError(t, json.Unmarshal(rows[0].Value, &got))
	assert.DeepEqual(t, got, record)
	_, err = Register(t.Context(), table, record)
	assert.ErrorIs(t, err, ErrRegistered)
}

// Guards against a daemon that cannot start because replies of the table were
// lost for a while.
func TestRegisterRetriesDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := standin.New()
		assert.NilError(t, server.SetFaults(standin.Faults{LostReplyProbability: 1}))
		time.AfterFunc(time.Minute, func() { server.SetFaults(standin.Faults{}) })
		version, err := Register(t.Context(), server.Local(), HolderRecord{Incarnation: "d1"})
		assert.NilError(t, err)
		assert.Equal(t, version, uint64(1))
		assert.Equal(t, server.Stats().Commits, uint64(1))
	})
}

// Guards against a start that blocks forever while the table is down.
func TestRegisterStopsWhenContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := standin.New()
		assert.NilError(t, server.SetFaults(standin.Faults{TableDown: true}))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := Register(ctx, server.Local(), HolderRecord{Incarnation: "d1"})
		assert.ErrorIs(t, err, storage.ErrUnavailable)
	})
}
