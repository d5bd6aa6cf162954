package bundle

import (
	"encoding/json"
	"fmt"
)

// Accepted is a version that came into force, with the proof of its
// acceptance. It is stored at VersionKey and pushed between daemons.
//
// Handovers holds the VersionHeader of each version that changed the operators
// or the required sign-offs, starting with the first version. A daemon that
// missed versions verifies a pushed one step by step. It trusts the operators of
// its own version first. For each newer entry of Handovers it verifies the
// signatures of the entry with the operators trusted so far, and then trusts the
// operators of the entry instead. The operators trusted last must have signed the
// pushed version. The other versions in between need no proof: whoever can sign
// for the current operators could also forge every version in between, so a full
// chain would prove nothing more, and at 370 changes a day it would be far larger
// than the bundle. Operators change a few times a year, so the list stays short.
//
// Signatures prove that enough operators approved the version. They do not
// prove that it came into force: a competing proposal for the same version may
// have enough signatures too, and the compare-and-set in the table succeeds for
// only one of them. A daemon therefore pushes only versions that it read from the
// table or verified itself, and a Watcher replaces a version whose digest differs
// from the table's on its next poll.
type Accepted struct {
	Bundle     Bundle          `json:"bundle"` // normalized
	Author     string          `json:"author"`
	Signatures []Signature     `json:"signatures"`
	Handovers  []VersionHeader `json:"handovers"`
}

// DecodeAccepted decodes an accepted version from JSON and checks its syntax
// and its bundle. It does not verify the signatures.
func DecodeAccepted(raw []byte) (*Accepted, error) {
	var a Accepted
	if err := decodeStrict(raw, &a); err != nil {
		return nil, fmt.Errorf("decode accepted bundle: %w", err)
	}
	if err := Check(a.Bundle); err != nil {
		return nil, fmt.Errorf("accepted bundle: %w", err)
	}
	a.Bundle = Normalized(a.Bundle)
	for i := range a.Handovers {
		if err := a.Handovers[i].decodeBody(); err != nil {
			return nil, err
		}
	}
	return &a, nil
}

// Encode returns the JSON encoding that DecodeAccepted reads.
func (a *Accepted) Encode() ([]byte, error) {
	raw, err := json.Marshal(a)
	if err != nil {
		return nil, fmt.Errorf("encode accepted bundle: %w", err)
	}
	return raw, nil
}

// accept returns the accepted form of a proposal that succeeds current, which
// is nil for the first version.
func accept(current *Accepted, p Proposal) (*Accepted, error) {
	header, err := versionHeaderOf(p.Bundle, p.Signatures)
	if err != nil {
		return nil, err
	}
	a := &Accepted{
		Bundle:     Normalized(p.Bundle),
		Author:     p.Author,
		Signatures: p.Signatures,
		Handovers:  []VersionHeader{},
	}
	if current == nil {
		a.Handovers = append(a.Handovers, header)
		return a, nil
	}
	a.Handovers = append(a.Handovers, current.Handovers...)
	if !TrustOf(current.Bundle).equal(header.Trust) {
		a.Handovers = append(a.Handovers, header)
	}
	return a, nil
}

// verifyFrom verifies the signatures and the handovers after heldVersion.
// trust is the trust that heldVersion establishes.
func (a *Accepted) verifyFrom(heldVersion uint64, trust Trust) error {
	last := heldVersion
	for _, header := range a.Handovers {
		if header.Version <= heldVersion || header.Version >= a.Bundle.Version {
			continue
		}
		if header.Version <= last {
			return fmt.Errorf("handover to version %d follows version %d", header.Version, last)
		}
		if err := trust.verify(header.digest(), header.Signatures); err != nil {
			return fmt.Errorf("handover at version %d: %w", header.Version, err)
		}
		trust = header.Trust
		last = header.Version
	}
	header, err := versionHeaderOf(a.Bundle, a.Signatures)
	if err != nil {
		return err
	}
	if err := trust.verify(header.digest(), a.Signatures); err != nil {
		return fmt.Errorf("version %d: %w", a.Bundle.Version, err)
	}
	return nil
}

// bundle returns the bundle, or nil if a is nil.
func (a *Accepted) bundle() *Bundle {
	if a == nil {
		return nil
	}
	return &a.Bundle
}
