package admin

import "github.com/peppertrail/peppertrail/pkg/bundle"

// SubmitReply answers a submission.
type SubmitReply struct {
	Progress bundle.Progress `json:"progress"`
	Warnings []string        `json:"warnings,omitempty"` // for example budgets that do not exist yet
}

// StatusReply tells how far the version in force has spread.
type StatusReply struct {
	InForce            bundle.Head    `json:"in_force"`            // version 0: none
	HeldVersion        uint64         `json:"held_version"`        // by the answering daemon
	UnconfirmedSeconds float64        `json:"unconfirmed_seconds"` // since the table confirmed HeldVersion
	Behind             int            `json:"behind"`              // active holders that report a lower version
	Holders            []HolderStatus `json:"holders"`
	Unreadable         []string       `json:"unreadable,omitempty"`
}
