package admin

import (
	"context"
	"encoding/json"
	"net/http"
)

// repairPrefix is the key prefix of repair records.
const repairPrefix = "repair/"

// RepairRow is the repair record at one key. Its format is defined by the daemon
// that wrote it.
type RepairRow struct {
	Key   string          `json:"key"` // repair/<time>-<id>
	Value json.RawMessage `json:"value"`
}

// RepairsReply contains one page of repair records and the repairs that the answering
// daemon made and keeps in memory, both oldest first.
type RepairsReply struct {
	Rows         []RepairRow   `json:"rows"`
	Next         string        `json:"next,omitempty"` // value of the after parameter for the next page; empty on the last page
	LocalRepairs []RepairEntry `json:"journal"`
}

func (s *Server) listRepairs(ctx context.Context, _ string, r *http.Request) (any, error) {
	p, err := parsePage(r)
	if err != nil {
		return nil, err
	}
	rows, err := s.config.Table.Scan(ctx, repairPrefix, p.after, p.limit)
	if err != nil {
		return nil, err
	}
	reply := RepairsReply{Rows: []RepairRow{}, LocalRepairs: append([]RepairEntry{}, s.config.Backend.LocalRepairs()...)}
	for _, row := range rows {
		reply.Rows = append(reply.Rows, RepairRow{Key: row.Key, Value: row.Value})
	}
	if len(rows) == p.limit {
		reply.Next = rows[len(rows)-1].Key
	}
	return reply, nil
}
