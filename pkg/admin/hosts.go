package admin

import (
	"cmp"
	"context"
	"net/http"
	"slices"

	"github.com/peppertrail/peppertrail/pkg/lease"
)

// HostsReply lists the holder rows, sorted by host.
type HostsReply struct {
	Holders    []HolderStatus `json:"holders"`
	Unreadable []string       `json:"unreadable,omitempty"` // keys of the rows that cannot be decoded
}

func (s *Server) listHosts(ctx context.Context, _ string, _ *http.Request) (any, error) {
	holders, unreadable, err := s.holders(ctx)
	if err != nil {
		return nil, err
	}
	return HostsReply{Holders: holders, Unreadable: unreadable}, nil
}

func (s *Server) holders(ctx context.Context) ([]HolderStatus, []string, error) {
	live := make(map[string]bool)
	for _, incarnation := range s.config.Backend.LiveHolders() {
		live[incarnation] = true
	}
	holders := []HolderStatus{}
	unreadable, err := scanAll(ctx, s.config.Table, lease.HolderPrefix, func(record lease.HolderRecord) {
		holders = append(holders, HolderStatus{HolderRecord: record, Live: live[record.Incarnation]})
	})
	if err != nil {
		return nil, nil, err
	}
	slices.SortFunc(holders, func(a, b HolderStatus) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return holders, unreadable, nil
}
