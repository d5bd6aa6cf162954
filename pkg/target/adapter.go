package target

import "context"

// Adapter fetches load reports in one format and converts them to snapshots.
type Adapter interface {
	// Report fetches the report of t and converts it to a snapshot with
	// ReportedAt set. It returns an error if no usable report was received: the
	// connection failed, the status was not 200, or the report was too large,
	// too slow or malformed.
	Report(ctx context.Context, t Target) (Snapshot, error)
}
