package sharedread

// Mode is how a host reads the table.
type Mode string

// Modes of reading.
const (
	Undecided Mode = "undecided" // the other hosts are not known yet
	Direct    Mode = "direct"    // reads the store; the fleet is too small for sharing
	Reader    Mode = "reader"    // reads the store and passes changes on
	Follower  Mode = "follower"  // asks readers
)

// Modes returns all modes.
func Modes() []Mode { return []Mode{Undecided, Direct, Reader, Follower} }
