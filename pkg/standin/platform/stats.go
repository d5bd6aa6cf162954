package platform

// Stats counts what the stand-in has done since it started.
type Stats struct {
	Commits     uint64  `json:"commits"`      // transactions that were decided as committed
	RowsWritten uint64  `json:"rows_written"` // puts and deletes of committed transactions
	Reads       uint64  `json:"reads"`        // get and scan calls
	Conflicts   uint64  `json:"conflicts"`    // transactions that were decided as conflicting
	Resubmitted uint64  `json:"resubmitted"`  // submissions of an id that was already decided
	LostReplies uint64  `json:"lost_replies"` // commits whose reply was dropped
	RateLimited uint64  `json:"rate_limited"` // commits refused with 429
	Seconds     float64 `json:"seconds"`      // time since the start
}
