package commit

// Stats counts what a Committer has done.
type Stats struct {
	Queued       int    // ops that wait for a transaction
	Committed    uint64 // transactions that were committed
	Renewals     uint64 // of these, transactions without an op
	Conflicted   uint64 // transactions that conflicted
	Rejected     uint64 // transactions that the table refused as invalid
	Resubmitted  uint64 // submissions of an id after the first
	OpsCommitted uint64
	OpsConflict  uint64 // ops that got ErrConflict
	OpsFailed    uint64 // ops that got another error
}
