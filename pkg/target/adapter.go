package target

import "context"

// Adapter reads one vendor's load report.
type Adapter interface {
	// Report fetches the report of t and converts it to a snapshot with
	// ReportedAt set. An error means that no usable report was received: the
	// connection failed, the answer was not 200, too large, too slow or malformed.
	Report(ctx context.Context, t Target) (Snapshot, error)
}
