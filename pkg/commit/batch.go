package commit

import (
	"crypto/rand"
	"encoding/json"

	"github.com/peppertrail/peppertrail/pkg/lease"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

// batch is the content of one transaction: ops and the holder row to write.
type batch struct {
	ops    []Op
	holder lease.HolderRecord
}

// txn builds the transaction with a new id. holderVersion is the version that
// the holder row must have for the transaction to be committed.
func (b batch) txn(holderVersion uint64) storage.Txn {
	key := lease.HolderKey(b.holder.Incarnation)
	value, err := json.Marshal(b.holder)
	if err != nil {
		panic(err) // a struct of strings, integers and booleans always encodes
	}
	txn := storage.Txn{
		ID:         rand.Text(),
		Conditions: []storage.Condition{{Key: key, Version: holderVersion}},
		Puts:       []storage.Put{{Key: key, Value: value}},
	}
	for _, op := range b.ops {
		txn.Conditions = append(txn.Conditions, op.Conditions...)
		txn.Puts = append(txn.Puts, op.Puts...)
		txn.Deletes = append(txn.Deletes, op.Deletes...)
	}
	return txn
}
