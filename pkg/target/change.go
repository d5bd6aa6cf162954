package target

// viewChange says how far a view differs from the one published before.
type viewChange int

// Changes, in the order of their urgency.
const (
	unchanged    viewChange = iota
	loadChanged             // snapshots or counts differ
	stateChanged            // targets came, went or changed their state
)
