package bundle

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/peppertrail/peppertrail/pkg/bundle/resubmit"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

// proposalPageSize is the number of proposals per scan call.
const proposalPageSize = 50

// Store reads and writes bundles and proposals in the table. It keeps no state
// in memory, so any number of daemons may use one table concurrently.
type Store struct {
	table     storage.Table
	bootstrap []Operator
	policy    resubmit.Policy
	newID     func() string
}

// NewStore returns a store. The first bundle must be signed by the bootstrap operators.
func NewStore(table storage.Table, bootstrap []Operator) *Store {
	return &Store{
		table:     table,
		bootstrap: bootstrap,
		policy:    resubmit.Default,
		newID:     resubmit.NewID,
	}
}

// Head returns the number and digest of the version in force, or ErrNoBundle.
func (s *Store) Head(ctx context.Context) (Head, error) {
	rows, err := s.table.Get(ctx, HeadKey)
	if err != nil {
		return Head{}, fmt.Errorf("read bundle head: %w", err)
	}
	head, err := decodeHead(rows[0])
	if err != nil {
		return Head{}, err
	}
	if head.Version == 0 {
		return Head{}, ErrNoBundle
	}
	return head, nil
}

// Current returns the version in force, or ErrNoBundle.
func (s *Store) Current(ctx context.Context) (*Accepted, error) {
	head, err := s.Head(ctx)
	if err != nil {
		return nil, err
	}
	return s.readAccepted(ctx, head)
}

// Get returns an accepted version, or ErrNoVersion.
func (s *Store) Get(ctx context.Context, version uint64) (*Accepted, error) {
	rows, err := s.table.Get(ctx, VersionKey(version))
	if err != nil {
		return nil, fmt.Errorf("read bundle version %d: %w", version, err)
	}
	if rows[0].Version == 0 {
		return nil, fmt.Errorf("%w: %d", ErrNoVersion, version)
	}
	a, err := DecodeAccepted(rows[0].Value)
	if err != nil {
		return nil, fmt.Errorf("%w: row %s: %w", ErrCorrupt, rows[0].Key, err)
	}
	if a.Bundle.Version != version {
		return nil, fmt.Errorf("%w: row %s holds version %d", ErrCorrupt, rows[0].Key, a.Bundle.Version)
	}
	return a, nil
}

// readAccepted returns the version that head identifies and checks its digest.
func (s *Store) readAccepted(ctx context.Context, head Head) (*Accepted, error) {
	a, err := s.Get(ctx, head.Version)
	if err != nil {
		return nil, err
	}
	digest, err := Digest(a.Bundle)
	if err != nil {
		return nil, err
	}
	if digest != head.Digest {
		return nil, fmt.Errorf("%w: version %d has digest %s, the head says %s", ErrCorrupt, head.Version, digest, head.Digest)
	}
	return a, nil
}

// Trust returns the trust for the next version: the operators of the version in
// force, or the bootstrap operators if there is none.
func (s *Store) Trust(ctx context.Context) (Trust, error) {
	current, err := s.currentOrNil(ctx)
	if err != nil {
		return Trust{}, err
	}
	return trustFor(current.bundle(), s.bootstrap), nil
}

// Proposals returns every stored proposal. A row that cannot be decoded is listed
// by its key and does not affect the others.
func (s *Store) Proposals(ctx context.Context) (ProposalList, error) {
	current, err := s.currentOrNil(ctx)
	if err != nil {
		return ProposalList{}, err
	}
	list := ProposalList{Proposals: []ProposalStatus{}}
	after := ""
	for {
		rows, err := s.table.Scan(ctx, ProposalPrefix, after, proposalPageSize)
		if err != nil {
			return ProposalList{}, fmt.Errorf("read proposals: %w", err)
		}
		for _, row := range rows {
			s.addProposal(&list, row, current.bundle())
			after = row.Key
		}
		if len(rows) < proposalPageSize {
			return list, nil
		}
	}
}

// Proposal returns the proposal with the given bundle digest, or ErrNoProposal.
func (s *Store) Proposal(ctx context.Context, digest string) (Proposal, error) {
	rows, err := s.table.Get(ctx, ProposalKey(digest))
	if err != nil {
		return Proposal{}, fmt.Errorf("read proposal: %w", err)
	}
	if rows[0].Version == 0 {
		return Proposal{}, fmt.Errorf("%w with digest %s", ErrNoProposal, digest)
	}
	return decodeProposal(rows[0])
}

func (s *Store) addProposal(list *ProposalList, row storage.Row, current *Bundle) {
	p, err := decodeProposal(row)
	if err != nil {
		list.Unreadable = append(list.Unreadable, row.Key)
		return
	}
	digest := row.Key[len(ProposalPrefix):]
	trust := trustFor(current, s.bootstrap)
	inForce := current != nil && sameDigest(*current, digest)
	list.Proposals = append(list.Proposals, ProposalStatus{
		Proposal:   p,
		Progress:   progressOf(digest, p, trust, inForce),
		Superseded: !inForce && checkBase(current, p.Bundle) != nil,
	})
}

// currentOrNil returns the version in force, or nil if there is none.
func (s *Store) currentOrNil(ctx context.Context) (*Accepted, error) {
	rows, err := s.table.Get(ctx, HeadKey)
	if err != nil {
		return nil, fmt.Errorf("read bundle head: %w", err)
	}
	head, err := decodeHead(rows[0])
	if err != nil || head.Version == 0 {
		return nil, err
	}
	return s.readAccepted(ctx, head)
}

func decodeHead(row storage.Row) (Head, error) {
	var head Head
	if row.Version == 0 {
		return head, nil
	}
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return head, fmt.Errorf("%w: row %s: %w", ErrCorrupt, HeadKey, err)
	}
	if head.Version == 0 {
		return head, fmt.Errorf("%w: row %s names version 0", ErrCorrupt, HeadKey)
	}
	return head, nil
}

func decodeProposal(row storage.Row) (Proposal, error) {
	var p Proposal
	if err := decodeStrict(row.Value, &p); err != nil {
		return p, fmt.Errorf("%w: row %s: %w", ErrCorrupt, row.Key, err)
	}
	p.Bundle = Normalized(p.Bundle)
	if !sameDigest(p.Bundle, row.Key[len(ProposalPrefix):]) {
		return p, fmt.Errorf("%w: row %s holds a bundle with another digest", ErrCorrupt, row.Key)
	}
	return p, nil
}

func sameDigest(b Bundle, digest string) bool {
	own, err := Digest(b)
	return err == nil && own == digest
}
