package bench

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/peppertrail/peppertrail/pkg/load/caller"
	"github.com/peppertrail/peppertrail/pkg/load/fleet"
)

// attemptRecord is one line of the file of attempts. Times are milliseconds
// from the start of the load, amounts are tokens.
type attemptRecord struct {
	Key             string         `json:"key"`
	Customer        int            `json:"customer"`
	Daemon          int            `json:"daemon"` // of the first try
	SentMS          float64        `json:"sent_ms"`
	EndedMS         float64        `json:"ended_ms"`
	FirstTokenMS    float64        `json:"first_token_ms"` // from sent
	Outcome         caller.Outcome `json:"outcome"`
	Reason          string         `json:"reason,omitempty"`
	Bound           int64          `json:"bound"`
	SentFreeTokens  int64          `json:"sent_room"`  // of the budget when the request was sent
	EndedFreeTokens int64          `json:"ended_room"` // of the budget when it ended
}

// writeAttempts writes one line per attempt beside the logs of the processes,
// from which the time and cause of refusals can be read.
func (r *run) writeAttempts() (err error) {
	file, err := os.Create(filepath.Join(r.dir, "attempts.ndjson"))
	if err != nil {
		return fmt.Errorf("file of attempts: %w", err)
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	lines := json.NewEncoder(file)
	for _, s := range r.attempts {
		id := fleet.BudgetID(s.request.Customer)
		if err := lines.Encode(attemptRecord{
			Key: s.request.Key, Customer: s.request.Customer, Daemon: s.request.Daemon,
			SentMS: ms(s.result.Sent.Sub(r.start)), EndedMS: ms(s.result.Ended.Sub(r.start)), FirstTokenMS: ms(s.result.FirstToken),
			Outcome: s.result.Outcome, Reason: s.result.Reason, Bound: s.bound,
			SentFreeTokens: r.oracle.Room(id, s.result.Sent), EndedFreeTokens: r.oracle.Room(id, s.result.Ended),
		}); err != nil {
			return fmt.Errorf("write attempt: %w", err)
		}
	}
	return nil
}
