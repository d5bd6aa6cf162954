package bundle

// Progress is the sign-off state of a proposal.
type Progress struct {
	Digest   string   `json:"digest"`
	Version  uint64   `json:"version"` // version number of the proposal if accepted
	InForce  bool     `json:"in_force"`
	SignedBy []string `json:"signed_by"`
	Missing  []string `json:"missing,omitempty"` // operators who have not signed yet; omitted once in force
	Required int      `json:"required_signoffs"` // number of sign-offs that the trust for the next version requires
}

func progressOf(digest string, p Proposal, trust Trust, inForce bool) Progress {
	signers := make(map[string]bool, len(p.Signatures))
	names := make([]string, 0, len(p.Signatures))
	for _, s := range p.Signatures {
		signers[s.Operator] = true
		names = append(names, s.Operator)
	}
	progress := Progress{
		Digest:   digest,
		Version:  p.Bundle.Base + 1,
		InForce:  inForce,
		SignedBy: names,
		Required: trust.Required,
	}
	if !inForce {
		progress.Missing = trust.missingSigners(signers)
	}
	return progress
}
