package bundle

// ProposalStatus is a stored proposal and its sign-off state.
type ProposalStatus struct {
	Proposal   Proposal `json:"proposal"`
	Progress   Progress `json:"progress"`
	Superseded bool     `json:"superseded"` // its base is not the version in force, so it cannot be accepted
}

// ProposalList lists every stored proposal.
type ProposalList struct {
	Proposals  []ProposalStatus `json:"proposals"`
	Unreadable []string         `json:"unreadable,omitempty"` // keys of rows that cannot be decoded
}
