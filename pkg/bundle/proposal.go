package bundle

import (
	"fmt"
	"slices"
)

// ProposalPrefix is the key prefix of all proposals.
const ProposalPrefix = "proposal/"

// ProposalKey returns the table key of a proposal.
func ProposalKey(digest string) string { return ProposalPrefix + digest }

// Proposal is a bundle that waits for sign-offs. Its table key is ProposalKey.
type Proposal struct {
	Author     string      `json:"author"`
	Bundle     Bundle      `json:"bundle"` // normalized
	Signatures []Signature `json:"signatures"`
}

// signedBy reports whether an operator's signature is present.
func (p Proposal) signedBy(operator string) bool {
	return slices.ContainsFunc(p.Signatures, func(s Signature) bool { return s.Operator == operator })
}

// with returns a copy that holds s in place of an earlier one by the same operator.
func (p Proposal) withSignature(s Signature) Proposal {
	others := slices.DeleteFunc(slices.Clone(p.Signatures), func(o Signature) bool { return o.Operator == s.Operator })
	p.Signatures = append(others, s)
	return p
}

// DecodeProposal reads a proposal from JSON as strictly as Decode. It checks
// the form only.
func DecodeProposal(raw []byte) (Proposal, error) {
	var p Proposal
	if err := decodeStrict(raw, &p); err != nil {
		return Proposal{}, fmt.Errorf("decode proposal: %w", err)
	}
	return p, nil
}
