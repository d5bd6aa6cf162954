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

// attemptRecord is one line of attempts.ndjson. Times are in milliseconds from
// the start of the load unless stated otherwise; amounts are in tokens.
type attemptRecord struct {
	Key             string         `json:"key"`
	Customer        int            `json:"customer"`
	Daemon          int            `json:"daemon"` // daemon of the first attempt, before failover
	SentMS          float64        `json:"sent_ms"`
	EndedMS         float64        `json:"ended_ms"`
	FirstTokenMS    float64        `json:"first_token_ms"` // from SentMS
	Outcome         caller.Outcome `json:"outcome"`
	Reason          string         `json:"reason,omitempty"`
	Bound           int64          `json:"bound"`
	SentFreeTokens  int64          `json:"sent_room"`  // free tokens of the budget when the request was sent
	EndedFreeTokens int64          `json:"ended_room"` // free tokens of the budget when the attempt ended
}

// writeAttempts writes one line per attempt to attempts.ndjson in the log
// directory. It shows when and why requests were refused.
func (r *run) writeAttempts() (err error) {
	file, err := os.Create(filepath.Join(r.dir, "attempts.ndjson"))
	if err != nil {
		return fmt.Errorf("file of attempts: %w", err)
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	lines := json.NewEncoder(file)
	for _, a := range r.attempts {
		id := fleet.BudgetID(a.request.Customer)
		if err := lines.Encode(attemptRecord{
			Key: a.request.IdempotencyKey, Customer: a.request.Customer, Daemon: a.request.Daemon,
			SentMS: ms(a.result.Sent.Sub(r.start)), EndedMS: ms(a.result.Ended.Sub(r.start)), FirstTokenMS: ms(a.result.FirstToken),
			Outcome: a.result.Outcome, Reason: a.result.Reason, Bound: a.bound,
			SentFreeTokens: r.oracle.FreeTokens(id, a.result.Sent), EndedFreeTokens: r.oracle.FreeTokens(id, a.result.Ended),
		}); err != nil {
			return fmt.Errorf("write attempt: %w", err)
		}
	}
	return nil
}
