package baseline

import (
	"context"

	"github.com/peppertrail/peppertrail/pkg/home"
)

// recordingAuthority records the budget of each call.
type recordingAuthority struct {
	budgets []string
}

func (r *recordingAuthority) Reserve(_ context.Context, req home.ReserveRequest) (home.ReserveReply, error) {
	r.budgets = append(r.budgets, req.Budget)
	return home.ReserveReply{}, nil
}

func (r *recordingAuthority) Settle(_ context.Context, req home.SettleRequest) (home.SettleReply, error) {
	r.budgets = append(r.budgets, req.Budget)
	return home.SettleReply{}, nil
}
