package target

import "fmt"

// maxReportedCount bounds every count in a report. A larger number is a fault
// of the target; accepting it would overflow sums over targets.
const maxReportedCount = 1 << 24

// checkSnapshot returns ErrMalformedReport (wrapped) if a value is out of range.
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
		return fmt.Errorf("%w: capacity is 0", ErrMalformedReport)
	}
	if !(s.CacheUsed >= 0 && s.CacheUsed <= 1) {
		return fmt.Errorf("%w: cache use %v is not in 0 to 1", ErrMalformedReport, s.CacheUsed)
	}
	return nil
}

// checkCount returns ErrMalformedReport (wrapped) if n is out of range.
func checkCount(name string, n int) error {
	if n < 0 || n > maxReportedCount {
		return fmt.Errorf("%w: %s is %d", ErrMalformedReport, name, n)
	}
	return nil
}
