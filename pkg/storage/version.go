package storage

// Version identifies a state of a row, or of the whole store. A store that returns from an
// older copy begins a new era, in which it gives out numbers of the era before again: the
// same number of two eras may identify two states.
type Version struct {
	// Era rises each time the store returns from an older copy; 0: the store names none.
	Era uint64 `json:"Era,omitempty"`
	// Number rises with each change within an era; 0: the row does not exist. Its name on
	// the wire is that of the versions without an era, which earlier processes send.
	Number uint64 `json:"Version"`
}

// NewerThan reports whether v supersedes another version: it is of a later era, or later in
// the same one.
func (v Version) NewerThan(other Version) bool {
	if v.Era != other.Era {
		return v.Era > other.Era
	}
	return v.Number > other.Number
}
