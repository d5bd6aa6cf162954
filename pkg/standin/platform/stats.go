package platform

// Stats are the counters of the stand-in since its start.
type Stats struct {
	Commits     uint64  `json:"commits"`      // committed transactions
	RowsWritten uint64  `json:"rows_written"` // puts and deletes of committed transactions
	Reads       uint64  `json:"reads"`        // get and scan calls
	Conflicts   uint64  `json:"conflicts"`    // transactions rejected because a condition did not hold
	Resubmitted uint64  `json:"resubmitted"`  // submissions of a transaction id that already had an outcome
	LostReplies uint64  `json:"lost_replies"` // commits whose reply was dropped
	RateLimited uint64  `json:"rate_limited"` // commit calls refused by the write rate limit
	Seconds     float64 `json:"seconds"`      // seconds since the start
}
