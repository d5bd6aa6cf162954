package bundle

import (
	"errors"
	"fmt"
)

// Errors of a Store.
var (
	// ErrNoBundle means that no version is in force yet.
	ErrNoBundle = errors.New("no bundle is in force")
	// ErrNoVersion means that a version does not exist.
	ErrNoVersion = errors.New("no such version")
	// ErrNoProposal means that no proposal with the digest is stored.
	ErrNoProposal = errors.New("no such proposal")
	// ErrSignature means that a signature is invalid or not by an operator of the bundle in force.
	ErrSignature = errors.New("signature refused")
	// ErrCorrupt means that rows of the table contradict each other.
	ErrCorrupt = errors.New("bundle rows are corrupt")
	// ErrBusy means that other operators kept writing the same rows.
	ErrBusy = errors.New("other operators are writing at the same time: try again")
)

// proposalGone tells which version is in force, since a superseded proposal is
// deleted by a later acceptance.
func proposalNotFound(digest string, inForce uint64) error {
	return fmt.Errorf("%w with digest %s; version %d is in force", ErrNoProposal, digest, inForce)
}
