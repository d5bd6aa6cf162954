package bundle

import (
	"fmt"
	"slices"
)

// ProposalPrefix is the table key prefix of all proposals.
const ProposalPrefix = "proposal/"

// ProposalKey returns the table key of the proposal with the given bundle digest.
func ProposalKey(digest string) string { return ProposalPrefix + digest }

// Proposal is a submitted bundle with the sign-offs collected so far. It is
// stored at ProposalKey.
type Proposal struct {
	Author     string      `json:"author"`
	Bundle     Bundle      `json:"bundle"` // normalized
	Signatures []Signature `json:"signatures"`
}

// signedBy reports whether a signature in the operator's name is present. It
// does not verify the signature.
func (p Proposal) signedBy(operator string) bool {
	return slices.ContainsFunc(p.Signatures, func(s Signature) bool { return s.Operator == operator })
}

// withSignature returns a copy with s added. It replaces an earlier signature by
// the same operator.
func (p Proposal) withSignature(s Signature) Proposal {
	others := slices.DeleteFunc(slices.Clone(p.Signatures), func(o Signature) bool { return o.Operator == s.Operator })
	p.Signatures = append(others, s)
	return p
}

// DecodeProposal decodes a proposal from JSON as strictly as Decode. It checks
// only the syntax.
func DecodeProposal(raw []byte) (Proposal, error) {
	var p Proposal
	if err := decodeStrict(raw, &p); err != nil {
		return Proposal{}, fmt.Errorf("decode proposal: %w", err)
	}
	return p, nil
}
