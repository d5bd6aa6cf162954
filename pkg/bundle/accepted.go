package bundle

import (
	"encoding/json"
	"fmt"
)

// Accepted is a version that came into force, with the proof of its
// acceptance. It is stored at VersionKey and pushed between daemons.
//
// A daemon that missed versions verifies a pushed one with the operators of
// the version it holds, after replacing them once per entry of Handovers that
// is newer than its own version. Handovers holds a Link for each version that
// changed operators or required sign-offs, from the first version on. Versions
// in between need no proof: whoever can sign for the held operators could also
// forge each missing step, so a full chain would prove nothing more, and at
// 370 changes a day it would be far larger than the bundle. Operators change
// a few times a year, so the list stays short.
//
// Signatures prove that enough operators approved the version, not that it won
// the compare-and-set against a rival with as many signatures. A daemon only
// pushes what it read from the table or verified itself, and on its next poll a
// Watcher replaces a version whose digest differs from the table's.
type Accepted struct {
	Bundle     Bundle          `json:"bundle"` // normalized
	Author     string          `json:"author"`
	Signatures []Signature     `json:"signatures"`
	Handovers  []VersionHeader `json:"handovers"`
}

// DecodeAccepted reads an accepted version from JSON and checks its form and
// its bundle, not its signatures.
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

// Encode returns the JSON form.
func (a *Accepted) Encode() ([]byte, error) {
	raw, err := json.Marshal(a)
	if err != nil {
		return nil, fmt.Errorf("encode accepted bundle: %w", err)
	}
	return raw, nil
}

// accept builds the record of the proposal's acceptance after current.
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

// verifyFrom proves the signatures, starting from the trust that holds after
// version held.
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

// bundle returns the bundle, or nil for no version.
func (a *Accepted) bundle() *Bundle {
	if a == nil {
		return nil
	}
	return &a.Bundle
}
