package target

// change says how far a view differs from the one published before.
type change int

// Changes, in the order of their urgency.
const (
	unchanged    change = iota
	loadChanged         // snapshots or counts differ
	stateChanged        // targets came, went or changed their state
)
