package harness

import (
	"fmt"
	"time"

	"github.com/peppertrail/peppertrail/pkg/standin/engine"
	"github.com/peppertrail/peppertrail/pkg/standin/service"
)

// Dispatch is one request that a target accepted, read from the target's journal.
type Dispatch struct {
	Target    string
	Stream    string // stream id
	Digest    string // digest of the prompt, or SHA-256 of the body of a call
	Path      string // path of a call of the plain service; empty for a completion
	Accepted  time.Time
	Ended     *time.Time // nil: still running, or the target process was killed
	Completed bool       // the request ran to its end
}

// Dispatches returns every request that any target accepted since the start of
// the test. Unlike EngineRecords and ServiceRecords it returns a separate dispatch
// if a target accepts the same stream id again after a restart.
func (f *Fleet) Dispatches() ([]Dispatch, error) {
	var all []Dispatch
	for _, e := range f.Engines {
		records, err := readJournal(e.journal, engineDispatchKey)
		if err != nil {
			return nil, fmt.Errorf("journal of %s: %w", e.ID, err)
		}
		for _, r := range records {
			all = append(all, engineDispatch(e.ID, r))
		}
	}
	for _, s := range f.Services {
		records, err := readJournal(s.journal, serviceDispatchKey)
		if err != nil {
			return nil, fmt.Errorf("journal of %s: %w", s.ID, err)
		}
		for _, r := range records {
			all = append(all, serviceDispatch(s.ID, r))
		}
	}
	return all, nil
}

func engineDispatchKey(r engine.Record) string {
	return r.Accepted.String() + " " + r.Stream
}

func serviceDispatchKey(r service.Record) string {
	return fmt.Sprintf("%v %d %s", r.Started, r.Call, r.Stream)
}

func engineDispatch(target string, r engine.Record) Dispatch {
	return Dispatch{
		Target: target, Stream: r.Stream, Digest: r.Digest,
		Accepted: r.Accepted, Ended: r.Ended, Completed: r.Outcome == engine.Completed,
	}
}

func serviceDispatch(target string, r service.Record) Dispatch {
	return Dispatch{
		Target: target, Stream: r.Stream, Digest: r.Digest, Path: r.Path,
		Accepted: r.Started, Ended: r.Ended, Completed: r.Outcome == service.Completed,
	}
}
