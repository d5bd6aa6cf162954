package admin

import (
	"cmp"
	"context"
	"net/http"
	"slices"

	"github.com/peppertrail/peppertrail/pkg/target"
)

// TargetsReply lists the targets as the answering daemon sees them, sorted by service.
type TargetsReply struct {
	Targets []target.Status `json:"targets"`
}

// DrainReply is the reply to a drain order.
type DrainReply struct {
	Target string `json:"target"`
}

func (s *Server) listTargets(context.Context, string, *http.Request) (any, error) {
	targets := slices.Clone(s.config.Backend.Targets())
	slices.SortFunc(targets, func(a, b target.Status) int {
		return cmp.Or(cmp.Compare(a.Target.Service, b.Target.Service), cmp.Compare(a.Target.ID, b.Target.ID))
	})
	return TargetsReply{Targets: append([]target.Status{}, targets...)}, nil
}

func (s *Server) drainTarget(ctx context.Context, _ string, r *http.Request) (any, error) {
	id := r.PathValue("target")
	if err := s.config.Backend.Drain(ctx, id); err != nil {
		return nil, err
	}
	return DrainReply{Target: id}, nil
}
