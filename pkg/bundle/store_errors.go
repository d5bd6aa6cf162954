package bundle

import (
	"errors"
	"fmt"
)

// Errors of a Store.
var (
	// ErrNoBundle reports that no version is in force yet.
	ErrNoBundle = errors.New("no bundle is in force")
	// ErrNoVersion reports that a version does not exist.
	ErrNoVersion = errors.New("no such version")
	// ErrNoProposal reports that no proposal with the digest is stored.
	ErrNoProposal = errors.New("no such proposal")
	// ErrSignature reports a signature that is invalid or was not made by an operator of the bundle in force.
	ErrSignature = errors.New("signature refused")
	// ErrCorrupt reports table rows that cannot be decoded or are inconsistent with each other.
	ErrCorrupt = errors.New("bundle rows are corrupt")
	// ErrBusy reports that other operators changed the same rows during every attempt.
	ErrBusy = errors.New("other operators are writing at the same time: try again")
)

// proposalNotFound returns an ErrNoProposal that names the version in force,
// because a later acceptance deletes superseded proposals.
func proposalNotFound(digest string, inForce uint64) error {
	return fmt.Errorf("%w with digest %s; version %d is in force", ErrNoProposal, digest, inForce)
}
