package bundle

// Progress is the state of a proposal after a submission or sign-off.
type Progress struct {
	Digest   string   `json:"digest"`
	Version  uint64   `json:"version"` // version that the proposal has or gets
	InForce  bool     `json:"in_force"`
	SignedBy []string `json:"signed_by"`
	Missing  []string `json:"missing,omitempty"` // operators who may still sign
	Required int      `json:"required_signoffs"` // of the version in force
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
