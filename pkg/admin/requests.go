package admin

import (
	"context"
	"net/http"

	"github.com/peppertrail/peppertrail/pkg/budget"
	"github.com/peppertrail/peppertrail/pkg/claim"
	"github.com/peppertrail/peppertrail/pkg/telemetry"
)

// RequestReply contains the table's rows about one request and the decisions of the
// answering daemon.
type RequestReply struct {
	Customer    string             `json:"customer"`
	Request     string             `json:"request"`
	Line        *budget.Line       `json:"line,omitempty"`
	Claim       *claim.Record      `json:"claim,omitempty"`
	Crash       *claim.CrashRecord `json:"crash,omitempty"` // looked up by the fingerprint of the claim
	Explanation string             `json:"explanation"`
	Steps       []telemetry.Step   `json:"steps,omitempty"` // decisions of the answering daemon; empty if it did not receive the request
}

func (s *Server) showRequest(ctx context.Context, _ string, r *http.Request) (any, error) {
	customer, err := pathID(r, "customer")
	if err != nil {
		return nil, err
	}
	reply := RequestReply{Customer: customer, Request: r.PathValue("request")}
	if reply.Line, err = readRow[budget.Line](ctx, s.config.Table, budget.LineKey(customer, reply.Request)); err != nil {
		return nil, err
	}
	if reply.Claim, err = readRow[claim.Record](ctx, s.config.Table, claim.Key(customer, reply.Request)); err != nil {
		return nil, err
	}
	if reply.Claim != nil {
		if reply.Crash, err = readRow[claim.CrashRecord](ctx, s.config.Table, claim.CrashKey(reply.Claim.Fingerprint)); err != nil {
			return nil, err
		}
	}
	reply.Explanation = explain(reply)
	reply.Steps = s.config.Backend.Explain(customer, reply.Request)
	return reply, nil
}
