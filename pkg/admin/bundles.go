package admin

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/peppertrail/peppertrail/pkg/bundle"
)

func (s *Server) submitBundle(ctx context.Context, operator string, r *http.Request) (any, error) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, errorf(BadRequest, "read request body: %v", err)
	}
	proposal, err := bundle.DecodeProposal(raw)
	if err != nil {
		return nil, errorf(BadRequest, "%v", err)
	}
	if proposal.Author != operator {
		return nil, errorf(Forbidden, "the author is %q but the call is by %q: submit your own proposals, sign off those of others", proposal.Author, operator)
	}
	if err := bundle.Check(proposal.Bundle); err != nil {
		return nil, err
	}
	warnings, err := s.checkBudgets(ctx, proposal.Bundle)
	if err != nil {
		return nil, err
	}
	progress, err := s.config.Store.Submit(ctx, proposal)
	if err != nil {
		return nil, err
	}
	return SubmitReply{Progress: progress, Warnings: warnings}, nil
}

func (s *Server) signOff(ctx context.Context, operator string, r *http.Request) (any, error) {
	var signature bundle.Signature
	if err := decodeBody(r, &signature); err != nil {
		return nil, err
	}
	if signature.Operator != operator {
		return nil, errorf(Forbidden, "the signature is by %q but the call is by %q", signature.Operator, operator)
	}
	digest, err := pathID(r, "digest")
	if err != nil {
		return nil, err
	}
	progress, err := s.config.Store.SignOff(ctx, digest, signature)
	if err != nil {
		return nil, err
	}
	return SubmitReply{Progress: progress}, nil
}

func (s *Server) showCurrent(ctx context.Context, _ string, _ *http.Request) (any, error) {
	return s.config.Store.Current(ctx)
}

func (s *Server) showVersion(ctx context.Context, _ string, r *http.Request) (any, error) {
	text := r.PathValue("version")
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil || version == 0 {
		return nil, errorf(BadRequest, "version %q: allowed are whole numbers from 1", text)
	}
	return s.config.Store.Get(ctx, version)
}

func (s *Server) listProposals(ctx context.Context, _ string, _ *http.Request) (any, error) {
	return s.config.Store.Proposals(ctx)
}

func (s *Server) showProposal(ctx context.Context, _ string, r *http.Request) (any, error) {
	digest, err := pathID(r, "digest")
	if err != nil {
		return nil, err
	}
	return s.config.Store.Proposal(ctx, digest)
}

func (s *Server) showStatus(ctx context.Context, _ string, _ *http.Request) (any, error) {
	head, err := s.config.Store.Head(ctx)
	if err != nil && !errors.Is(err, bundle.ErrNoBundle) {
		return nil, err
	}
	holders, unreadable, err := s.holders(ctx)
	if err != nil {
		return nil, err
	}
	reply := StatusReply{
		InForce:            head,
		HeldVersion:        s.config.Watcher.Version(),
		UnconfirmedSeconds: s.config.Watcher.Unconfirmed().Seconds(),
		Holders:            holders,
		Unreadable:         unreadable,
	}
	for _, h := range holders {
		if h.Active() && h.BundleVersion < head.Version {
			reply.Behind++
		}
	}
	return reply, nil
}
