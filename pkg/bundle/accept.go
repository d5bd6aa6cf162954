package bundle

// CanAccept checks whether a proposal may come into force as the successor of
// current, which is nil if no bundle is in force. It returns a *CheckError for
// an invalid bundle, a *ConflictError if the proposal is based on another
// version, and a *SignoffError if too few distinct operators of the bundle in
// force have signed. Signatures of bootstrap operators count only while no
// bundle is in force.
func CanAccept(current *Bundle, p Proposal, bootstrap []Operator) error {
	if err := Check(p.Bundle); err != nil {
		return err
	}
	if err := checkBase(current, p.Bundle); err != nil {
		return err
	}
	header, err := versionHeaderOf(p.Bundle, p.Signatures)
	if err != nil {
		return err
	}
	return trustFor(current, bootstrap).verify(header.digest(), p.Signatures)
}

func checkBase(current *Bundle, b Bundle) error {
	inForce := versionOf(current)
	if b.Base != inForce {
		return &ConflictError{Base: b.Base, InForce: inForce}
	}
	return nil
}

// versionOf returns the version of a bundle, or 0 for nil.
func versionOf(b *Bundle) uint64 {
	if b == nil {
		return 0
	}
	return b.Version
}
