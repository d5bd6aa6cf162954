package bundle

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

const (
	// maxSignAttempts limits how often a submission or sign-off is attempted
	// while other operators change the same rows.
	maxSignAttempts = 8
	// maxSupersededDeletes limits the number of proposals that one acceptance
	// scans and, if they are superseded, deletes.
	maxSupersededDeletes = 16
)

// signingState holds the rows that one attempt of a submission or sign-off has read.
type signingState struct {
	digest      string // digest of the proposed bundle
	headRow     storage.Row
	proposalRow storage.Row
	head        Head
	current     *Accepted // version in force; nil if none
	proposal    *Proposal // stored proposal; nil if none
}

// Submit stores a proposal with the signature of its author and accepts it if no
// further sign-off is required. Submit is idempotent. It returns a *CheckError,
// a *ConflictError, ErrSignature, ErrBusy or storage.ErrUnavailable. After
// storage.ErrUnavailable the caller can repeat the call without applying it twice.
func (s *Store) Submit(ctx context.Context, p Proposal) (Progress, error) {
	if err := Check(p.Bundle); err != nil {
		return Progress{}, err
	}
	p.Bundle = Normalized(p.Bundle)
	if !p.signedBy(p.Author) || len(p.Signatures) != 1 {
		return Progress{}, fmt.Errorf("%w: a submission carries one signature, by its author %q", ErrSignature, p.Author)
	}
	digest, err := Digest(p.Bundle)
	if err != nil {
		return Progress{}, err
	}
	return s.sign(ctx, digest, p.Signatures[0], &p)
}

// SignOff adds a signature to a stored proposal and accepts it once enough
// operators of the bundle in force have signed. Signing off a version that is
// already in force succeeds. It returns the errors of Submit and ErrNoProposal.
func (s *Store) SignOff(ctx context.Context, digest string, signature Signature) (Progress, error) {
	return s.sign(ctx, digest, signature, nil)
}

// sign repeats signOnce while other operators change the same rows, at most
// maxSignAttempts times.
func (s *Store) sign(ctx context.Context, digest string, signature Signature, submitted *Proposal) (Progress, error) {
	for range maxSignAttempts {
		state, err := s.readState(ctx, digest)
		if err != nil {
			return Progress{}, err
		}
		progress, done, err := s.signOnce(ctx, state, signature, submitted)
		if done || err != nil {
			return progress, err
		}
	}
	return Progress{}, ErrBusy
}

// signOnce makes one attempt. Its second result is false if a row changed since
// state was read, so that the caller must read it again.
func (s *Store) signOnce(ctx context.Context, state signingState, signature Signature, submitted *Proposal) (Progress, bool, error) {
	if state.current != nil && state.head.Digest == state.digest {
		return state.acceptedProgress(), true, nil
	}
	p, err := state.proposalToSign(submitted)
	if err != nil {
		return Progress{}, false, err
	}
	if err := checkBase(state.current.bundle(), p.Bundle); err != nil {
		return Progress{}, false, err
	}
	trust := trustFor(state.current.bundle(), s.bootstrap)
	if err := verifySignature(trust, p.Bundle, signature); err != nil {
		return Progress{}, false, err
	}
	p = p.withSignature(signature)
	accepted, err := s.acceptIfSigned(state, p)
	if err != nil {
		return Progress{}, false, err
	}
	txn, err := s.transaction(ctx, state, p, accepted)
	if err != nil {
		return Progress{}, false, err
	}
	outcome, err := s.policy.Commit(ctx, s.table, txn)
	if err != nil {
		return Progress{}, false, fmt.Errorf("store proposal: %w", err)
	}
	if !outcome.Committed {
		return Progress{}, false, commitConflict(outcome, accepted)
	}
	return progressOf(state.digest, p, trust, accepted != nil), true, nil
}

func verifySignature(trust Trust, b Bundle, signature Signature) error {
	header, err := versionHeaderOf(b, nil)
	if err != nil {
		return err
	}
	if err := trust.verifyOne(header.digest(), signature); err != nil {
		return fmt.Errorf("%w: %w", ErrSignature, err)
	}
	return nil
}

// acceptIfSigned returns the accepted version, or nil if sign-offs are missing.
func (s *Store) acceptIfSigned(state signingState, p Proposal) (*Accepted, error) {
	err := CanAccept(state.current.bundle(), p, s.bootstrap)
	var missing *SignoffError
	if errors.As(err, &missing) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return accept(state.current, p)
}

// transaction returns a transaction that writes the proposal and, if accepted is
// not nil, the version row and the head. It is conditional on the head and the
// proposal row being unchanged since they were read.
func (s *Store) transaction(ctx context.Context, state signingState, p Proposal, accepted *Accepted) (storage.Txn, error) {
	raw, err := json.Marshal(p)
	if err != nil {
		return storage.Txn{}, fmt.Errorf("encode proposal: %w", err)
	}
	txn := storage.Txn{
		ID: s.newID(),
		Conditions: []storage.Condition{
			{Key: HeadKey, Version: state.headRow.Version},
			{Key: state.proposalRow.Key, Version: state.proposalRow.Version},
		},
		Puts: []storage.Put{{Key: state.proposalRow.Key, Value: raw}},
	}
	if accepted == nil {
		return txn, nil
	}
	return s.withAcceptance(ctx, txn, state, accepted)
}

// withAcceptance adds the compare-and-set of the head. The version row must not
// exist yet, so that an accepted version cannot be replaced after a manual reset
// of the head.
func (s *Store) withAcceptance(ctx context.Context, txn storage.Txn, state signingState, accepted *Accepted) (storage.Txn, error) {
	text, err := accepted.Encode()
	if err != nil {
		return txn, err
	}
	version := accepted.Bundle.Version
	head, err := json.Marshal(Head{Version: version, Digest: state.digest})
	if err != nil {
		return txn, fmt.Errorf("encode bundle head: %w", err)
	}
	txn.Conditions = append(txn.Conditions, storage.Condition{Key: VersionKey(version)})
	txn.Puts = append(txn.Puts,
		storage.Put{Key: VersionKey(version), Value: text},
		storage.Put{Key: HeadKey, Value: head},
	)
	txn.Deletes, err = s.supersededProposals(ctx, state)
	return txn, err
}

// supersededProposals returns the keys of proposals that were superseded before
// this acceptance. They can no longer be accepted, so their deletion needs no
// condition.
func (s *Store) supersededProposals(ctx context.Context, state signingState) ([]string, error) {
	rows, err := s.table.Scan(ctx, ProposalPrefix, "", maxSupersededDeletes)
	if err != nil {
		return nil, fmt.Errorf("read proposals: %w", err)
	}
	var keys []string
	for _, row := range rows {
		p, err := decodeProposal(row)
		if err == nil && p.Bundle.Base < state.head.Version {
			keys = append(keys, row.Key)
		}
	}
	return keys, nil
}

// commitConflict returns nil if another attempt can succeed. It returns
// ErrCorrupt if the version row exists although the head did not change.
func commitConflict(outcome storage.Outcome, accepted *Accepted) error {
	if accepted == nil {
		return nil
	}
	key := VersionKey(accepted.Bundle.Version)
	versionExists := func(row storage.Row) bool { return row.Key == key }
	headChanged := func(row storage.Row) bool { return row.Key == HeadKey }
	if slices.ContainsFunc(outcome.Conflicts, versionExists) && !slices.ContainsFunc(outcome.Conflicts, headChanged) {
		return fmt.Errorf("%w: %s exists although the head is older", ErrCorrupt, key)
	}
	return nil
}

func (s *Store) readState(ctx context.Context, digest string) (signingState, error) {
	rows, err := s.table.Get(ctx, HeadKey, ProposalKey(digest))
	if err != nil {
		return signingState{}, fmt.Errorf("read proposal: %w", err)
	}
	state := signingState{digest: digest, headRow: rows[0], proposalRow: rows[1]}
	if state.head, err = decodeHead(state.headRow); err != nil {
		return signingState{}, err
	}
	if state.head.Version > 0 {
		if state.current, err = s.readAccepted(ctx, state.head); err != nil {
			return signingState{}, err
		}
	}
	if state.proposalRow.Version > 0 {
		p, err := decodeProposal(state.proposalRow)
		if err != nil {
			return signingState{}, err
		}
		state.proposal = &p
	}
	return state, nil
}

// proposalToSign returns the stored proposal, or else the submitted one.
func (state signingState) proposalToSign(submitted *Proposal) (Proposal, error) {
	if state.proposal != nil {
		return *state.proposal, nil
	}
	if submitted == nil {
		return Proposal{}, proposalNotFound(state.digest, state.head.Version)
	}
	return *submitted, nil
}

// acceptedProgress returns the progress of a proposal that is already in force.
func (state signingState) acceptedProgress() Progress {
	p := Proposal{
		Author:     state.current.Author,
		Bundle:     state.current.Bundle,
		Signatures: state.current.Signatures,
	}
	return progressOf(state.digest, p, TrustOf(state.current.Bundle), true)
}
