package repair

import (
	"fmt"
	"time"
)

// Record is the table row of a repair, at key RecordKey.
type Record struct {
	At      int64  `json:"at"` // Unix time, milliseconds
	By      string `json:"by"` // incarnation of the daemon that made the repair
	Kind    Kind   `json:"kind"`
	Subject string `json:"subject"`
	Text    string `json:"text"` // description of the cause and of what was changed
}

// RecordKey returns the table key of a repair. Keys sort by time.
func RecordKey(at time.Time, id string) string {
	return fmt.Sprintf("repair/%013d-%s", at.UnixMilli(), id)
}
