package admin

import (
	"context"
	"encoding/json"
	"net/http"
)

// repairPrefix is the key prefix of repair records.
const repairPrefix = "repair/"

// RepairRow is the repair record at one key. Its form belongs to the daemon
// that wrote it.
type RepairRow struct {
	Key   string          `json:"key"` // repair/<time>-<id>
	Value json.RawMessage `json:"value"`
}

// RepairsReply is one page of repair records, oldest first, and the journal of
// the answering daemon.
type RepairsReply struct {
	Rows    []RepairRow    `json:"rows"`
	Next    string         `json:"next,omitempty"` // after of the next page
	Journal []JournalEntry `json:"journal"`
}

func (s *Server) listRepairs(ctx context.Context, _ string, r *http.Request) (any, error) {
	p, err := pageOf(r)
	if err != nil {
		return nil, err
	}
	rows, err := s.config.Table.Scan(ctx, repairPrefix, p.after, p.limit)
	if err != nil {
		return nil, err
	}
	reply := RepairsReply{Rows: []RepairRow{}, Journal: append([]JournalEntry{}, s.config.Backend.Journal()...)}
	for _, row := range rows {
		reply.Rows = append(reply.Rows, RepairRow{Key: row.Key, Value: row.Value})
	}
	if len(rows) == p.limit {
		reply.Next = rows[len(rows)-1].Key
	}
	return reply, nil
}
