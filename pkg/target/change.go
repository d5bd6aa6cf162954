package target

// viewChange is the kind of difference between a view and the previously
// published one.
type viewChange int

// Kinds of change, ordered by how soon they must be published.
const (
	unchanged    viewChange = iota
	loadChanged             // only snapshots or dispatch counts differ
	stateChanged            // targets were added or removed, or the state or a Target field of one differs
)
