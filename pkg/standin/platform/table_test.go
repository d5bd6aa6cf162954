package platform

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

func put(key string) storage.Put {
	return storage.Put{Key: key, Value: json.RawMessage(`1`)}
}

func mustCommit(t *testing.T, tab *table, txn storage.Txn) storage.Outcome {
	t.Helper()
	outcome, err := tab.commit(txn)
	assert.NilError(t, err)
	return outcome
}

// Guards against a resubmitted transaction id that is applied twice or gets a
// different outcome.
func TestCommitSameIDReturnsFirstOutcome(t *testing.T) {
	tab := newTable()
	insert := storage.Txn{ID: "a", Conditions: []storage.Condition{{Key: "k"}}, Puts: []storage.Put{put("k")}}
	first := mustCommit(t, tab, insert)
	assert.DeepEqual(t, mustCommit(t, tab, insert), first)
	assert.Assert(t, first.Committed)

	insert.ID = "b"
	conflict := mustCommit(t, tab, insert)
	assert.Assert(t, !conflict.Committed)
	assert.Equal(t, conflict.Conflicts[0].Version, first.Revision)
	mustCommit(t, tab, storage.Txn{ID: "c", Deletes: []string{"k"}})
	assert.DeepEqual(t, mustCommit(t, tab, insert), conflict)
	assert.Equal(t, tab.readStats().Commits, uint64(2))
}

// Guards against a conflicting transaction that writes some of its rows.
func TestConflictWritesNothing(t *testing.T) {
	tab := newTable()
	outcome := mustCommit(t, tab, storage.Txn{
		ID:         "a",
		Conditions: []storage.Condition{{Key: "x", Version: 7}},
		Puts:       []storage.Put{put("y")},
	})
	assert.Assert(t, !outcome.Committed)
	assert.Equal(t, tab.get([]string{"y"})[0].Version, uint64(0))
}

// Guards against a transaction whose result would depend on the order of its writes.
func TestKeyWrittenTwiceIsRefused(t *testing.T) {
	_, err := newTable().commit(storage.Txn{ID: "a", Puts: []storage.Put{put("k")}, Deletes: []string{"k"}})
	assert.ErrorIs(t, err, errDuplicateKey)
}

// Guards against scans that miss, repeat or misorder rows across partitions and pages.
func TestScanMatchesSortedRows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tab := newTable()
		keyGen := rapid.StringMatching(`[ab](/|-|)[ab]?(/[a-c])?`)
		for i := range rapid.IntRange(1, 30).Draw(t, "txns") {
			key := keyGen.Draw(t, "key")
			txn := storage.Txn{ID: fmt.Sprint(i), Puts: []storage.Put{put(key)}}
			if rapid.Bool().Draw(t, "delete") {
				txn = storage.Txn{ID: fmt.Sprint(i), Deletes: []string{key}}
			}
			if _, err := tab.commit(txn); err != nil {
				t.Fatal(err)
			}
			if rapid.Bool().Draw(t, "check") {
				checkScan(t, tab, keyGen)
			}
		}
		checkScan(t, tab, keyGen)
	})
}

func checkScan(t *rapid.T, tab *table, keyGen *rapid.Generator[string]) {
	prefix := rapid.SampledFrom([]string{"", "a", "a/", "b/a", keyGen.Draw(t, "prefix")}).Draw(t, "chosen")
	var want []string
	for key := range tab.rows {
		if strings.HasPrefix(key, prefix) {
			want = append(want, key)
		}
	}
	slices.Sort(want)
	var got []string
	after := ""
	for {
		rows, err := tab.scan(prefix, after, 3)
		if err != nil {
			t.Fatal(err)
		}
		for _, row := range rows {
			got = append(got, row.Key)
		}
		if len(rows) < 3 {
			break
		}
		after = rows[2].Key
	}
	if !slices.Equal(got, want) {
		t.Fatalf("scan %q: got %q, want %q", prefix, got, want)
	}
}
