package bundle

// CanAccept decides whether a proposal may come into force after current, nil
// if none is in force. It returns a *CheckError for a faulty bundle, a
// *ConflictError if the proposal starts from another version and a
// *SignoffError if signatures by distinct operators of the bundle in force are
// missing. Bootstrap operators count only while no bundle is in force.
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

// versionOf returns the version of a bundle, 0 for none.
func versionOf(b *Bundle) uint64 {
	if b == nil {
		return 0
	}
	return b.Version
}
