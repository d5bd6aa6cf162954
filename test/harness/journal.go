package harness

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"

	"github.com/peppertrail/peppertrail/pkg/standin/engine"
	"github.com/peppertrail/peppertrail/pkg/standin/service"
)

// EngineRecords returns the latest journal record of every stream that an engine
// accepted since the start of the test, one per target and stream. The journal
// files remain after an engine is killed. A killed engine may have run a few tokens
// more than its last record shows.
func (f *Fleet) EngineRecords() ([]engine.Record, error) {
	var all []engine.Record
	for _, e := range f.Engines {
		records, err := readJournal(e.journal, func(r engine.Record) string { return r.Stream })
		if err != nil {
			return nil, fmt.Errorf("journal of %s: %w", e.ID, err)
		}
		all = append(all, records...)
	}
	return all, nil
}

// ServiceRecords returns the latest journal record of every call that a plain
// service accepted since the start of the test.
func (f *Fleet) ServiceRecords() ([]service.Record, error) {
	var all []service.Record
	for _, s := range f.Services {
		records, err := readJournal(s.journal, func(r service.Record) string {
			return fmt.Sprintf("%d %s", r.Call, r.Stream)
		})
		if err != nil {
			return nil, fmt.Errorf("journal of %s: %w", s.ID, err)
		}
		all = append(all, records...)
	}
	return all, nil
}

// readJournal returns the last record of each key, in order of first appearance.
// It ignores a last line without a newline, which is still being written.
func readJournal[T any](path string, key func(T) string) ([]T, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read: %w", err)
	}
	var records []T
	index := make(map[string]int)
	for len(raw) > 0 {
		line, rest, complete := bytes.Cut(raw, []byte("\n"))
		if !complete {
			break
		}
		raw = rest
		var r T
		if err := json.Unmarshal(line, &r); err != nil {
			return nil, fmt.Errorf("decode %q: %w", line, err)
		}
		if i, ok := index[key(r)]; ok {
			records[i] = r
			continue
		}
		index[key(r)] = len(records)
		records = append(records, r)
	}
	return records, nil
}

// ConsumedTokens returns how many tokens a stream consumed. A stream that never
// got a slot consumed none.
func ConsumedTokens(r engine.Record) int64 {
	if r.Started == nil {
		return 0
	}
	return int64(r.PromptTokens + r.CompletionTokens)
}
