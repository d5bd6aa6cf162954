package daemon

import (
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/peppertrail/peppertrail/pkg/admin"
	"github.com/peppertrail/peppertrail/pkg/telemetry"
)

// repairLogSize is the maximum number of repairs kept in memory for operators.
const repairLogSize = 1000

// repairLog logs and counts the repairs made by this daemon and keeps the latest
// in memory.
type repairLog struct {
	log     *log.Logger
	metrics *telemetry.Metrics
	mu      sync.Mutex
	entries []admin.RepairEntry
}

func newRepairLog(logger *log.Logger, metrics *telemetry.Metrics) *repairLog {
	return &repairLog{log: logger, metrics: metrics}
}

// add records one repair. subject is what was repaired; text says what was found
// and done.
func (r *repairLog) add(kind telemetry.RepairKind, subject, text string) {
	r.log.Warn().Str("kind", string(kind)).Str("subject", subject).Msg(text)
	r.metrics.Repaired(kind)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = append(r.entries, admin.RepairEntry{At: time.Now(), Subject: subject, Text: text})
	if len(r.entries) > repairLogSize {
		r.entries = r.entries[len(r.entries)-repairLogSize:]
	}
}

// list returns the repairs in memory, oldest first.
func (r *repairLog) list() []admin.RepairEntry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]admin.RepairEntry(nil), r.entries...)
}
