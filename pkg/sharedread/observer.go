package sharedread

// Cause is why a host left a reader, or read the store itself although reads are shared.
type Cause string

// Causes.
const (
	CauseNoAnswer      Cause = "no_answer"      // the reader has not answered in time, or with an error
	CauseNoCopy        Cause = "no_copy"        // the reader has no copy, as it starts
	CauseInvalidCopy   Cause = "invalid_copy"   // the reader could not apply a change of the table
	CauseBusy          Cause = "busy"           // the reader sends copies of the table to many other hosts
	CauseStale         Cause = "stale"          // the store has not confirmed the reader's copy recently
	CauseLagging       Cause = "lagging"        // the reader's copy is older than what this host knows
	CauseEarlierEra    Cause = "earlier_era"    // the reader's copy is of an earlier era of the store
	CauseUnknownMethod Cause = "unknown_method" // the reader is of an earlier release
	CauseNoReader      Cause = "no_reader"      // no reader could be asked: the store is read
)

// Causes returns all causes.
func Causes() []Cause {
	return []Cause{CauseNoAnswer, CauseNoCopy, CauseInvalidCopy, CauseBusy, CauseStale, CauseLagging, CauseEarlierEra, CauseUnknownMethod, CauseNoReader}
}

// Observer is told what happens. Its methods must not block.
type Observer interface {
	// PassedOn is called with the number of rows in an answer to another host.
	PassedOn(rows int)
	// FellBack is called when a host leaves a reader, or reads the store itself.
	FellBack(Cause)
}

// ignore is an Observer that does nothing.
type ignore struct{}

// PassedOn implements Observer.
func (ignore) PassedOn(int) {}

// FellBack implements Observer.
func (ignore) FellBack(Cause) {}
