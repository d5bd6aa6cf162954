package admin

import "github.com/peppertrail/peppertrail/pkg/bundle"

// SubmitReply is the reply to a submission or a sign-off.
type SubmitReply struct {
	Progress bundle.Progress `json:"progress"`
	Warnings []string        `json:"warnings,omitempty"` // for example budgets that do not exist yet
}

// StatusReply describes how many daemons hold the bundle version in force.
type StatusReply struct {
	InForce            bundle.Head    `json:"in_force"`            // version 0: no bundle is in force
	HeldVersion        uint64         `json:"held_version"`        // version held by the answering daemon
	UnconfirmedSeconds float64        `json:"unconfirmed_seconds"` // time since the table last confirmed HeldVersion
	Behind             int            `json:"behind"`              // number of active holders that report a lower version than InForce
	Holders            []HolderStatus `json:"holders"`
	Unreadable         []string       `json:"unreadable,omitempty"` // keys of the rows that cannot be decoded
}
