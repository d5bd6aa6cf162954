package target

import "fmt"

// maxReportedCount is the largest accepted count in a report. A larger one is a
// fault of the target, and accepting it would overflow sums over targets.
const maxReportedCount = 1 << 24

// checkSnapshot returns an error that wraps ErrMalformedReport if a value is
// out of range.
func checkSnapshot(s Snapshot) error {
	if err := checkCount("running", s.Running); err != nil {
		return err
	}
	if err := checkCount("waiting", s.Waiting); err != nil {
		return err
	}
	if err := checkCount("capacity", s.Capacity); err != nil {
		return err
	}
	if s.Capacity < 1 {
		return fmt.Errorf("%w: capacity is 0, want at least 1", ErrMalformedReport)
	}
	if !(s.CacheUsed >= 0 && s.CacheUsed <= 1) {
		return fmt.Errorf("%w: cache use is %v, want 0 to 1", ErrMalformedReport, s.CacheUsed)
	}
	return nil
}

// checkCount returns an error that wraps ErrMalformedReport if n is out of
// range.
func checkCount(name string, n int) error {
	if n < 0 || n > maxReportedCount {
		return fmt.Errorf("%w: %s count %d is out of range", ErrMalformedReport, name, n)
	}
	return nil
}
