package commit

// Stats are the counters of a Committer.
type Stats struct {
	Queued        int    // ops in the queue
	Committed     uint64 // transactions committed
	Renewals      uint64 // transactions committed without an op
	Conflicted    uint64 // transactions that conflicted
	Rejected      uint64 // transactions that the table rejected as invalid or that conflicted without a failed condition
	Resubmitted   uint64 // submissions of a transaction after its first
	OpsCommitted  uint64 // ops committed
	OpsConflicted uint64 // ops finished with ErrConflict
	OpsFailed     uint64 // ops finished with an error other than ErrConflict
}
