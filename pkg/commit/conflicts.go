package commit

import "github.com/peppertrail/peppertrail/pkg/storage"

// conflicts are the current rows of the failed conditions of a transaction, by key.
type conflicts map[string]storage.Row

func newConflicts(rows []storage.Row) conflicts {
	c := make(conflicts, len(rows))
	for _, row := range rows {
		c[row.Key] = row
	}
	return c
}

// forOp returns the current rows of the failed conditions of op.
func (c conflicts) forOp(op Op) []storage.Row {
	var rows []storage.Row
	for _, cond := range op.Conditions {
		if row, ok := c[cond.Key]; ok {
			rows = append(rows, row)
		}
	}
	return rows
}
