package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

const (
	defaultPageRows = 200
	maxPageRows     = 1000
	// scanPageRows is the page size of scans that read all rows with a prefix.
	scanPageRows = 500
)

// page is the part of a list that a call requests.
type page struct {
	after string // last key of the previous page; empty for the first page
	limit int
}

func parsePage(r *http.Request) (page, error) {
	p := page{after: r.URL.Query().Get("after"), limit: defaultPageRows}
	text := r.URL.Query().Get("limit")
	if text == "" {
		return p, nil
	}
	limit, err := strconv.Atoi(text)
	if err != nil || limit < 1 || limit > maxPageRows {
		return p, errorf(BadRequest, "limit %q: allowed are 1 to %d", text, maxPageRows)
	}
	p.limit = limit
	return p, nil
}

// rowPage is one page of decoded rows.
type rowPage[T any] struct {
	values     []T
	unreadable []string // keys of rows that cannot be decoded
	next       string   // value of after for the next page; empty on the last page
}

// scanRows reads one page of rows with a key prefix.
func scanRows[T any](ctx context.Context, table storage.Table, prefix string, p page) (rowPage[T], error) {
	result := rowPage[T]{values: []T{}}
	rows, err := table.Scan(ctx, prefix, p.after, p.limit)
	if err != nil {
		return result, err
	}
	for _, row := range rows {
		var value T
		if err := json.Unmarshal(row.Value, &value); err != nil {
			result.unreadable = append(result.unreadable, row.Key)
			continue
		}
		result.values = append(result.values, value)
	}
	if len(rows) == p.limit {
		result.next = rows[len(rows)-1].Key
	}
	return result, nil
}

// scanAll calls visit with the decoded value of every row with a key prefix, and
// returns the keys of the rows that cannot be decoded.
func scanAll[T any](ctx context.Context, table storage.Table, prefix string, visit func(T)) (unreadable []string, err error) {
	p := page{limit: scanPageRows}
	for {
		rows, err := scanRows[T](ctx, table, prefix, p)
		if err != nil {
			return unreadable, err
		}
		unreadable = append(unreadable, rows.unreadable...)
		for _, value := range rows.values {
			visit(value)
		}
		if rows.next == "" {
			return unreadable, nil
		}
		p.after = rows.next
	}
}

// readRow reads one row. It returns nil if the row is absent.
func readRow[T any](ctx context.Context, table storage.Table, key string) (*T, error) {
	rows, err := table.Get(ctx, key)
	if err != nil {
		return nil, err
	}
	if rows[0].Version == 0 {
		return nil, nil
	}
	var value T
	if err := json.Unmarshal(rows[0].Value, &value); err != nil {
		return nil, errorf(Internal, "row %s cannot be decoded: %v", key, err)
	}
	return &value, nil
}
