package bundle

// ProposalStatus is a stored proposal and how far it is.
type ProposalStatus struct {
	Proposal   Proposal `json:"proposal"`
	Progress   Progress `json:"progress"`
	Superseded bool     `json:"superseded"` // its base is no longer in force
}

// ProposalList is every stored proposal.
type ProposalList struct {
	Proposals  []ProposalStatus `json:"proposals"`
	Unreadable []string         `json:"unreadable,omitempty"` // keys of rows that cannot be decoded
}
