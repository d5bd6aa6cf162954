package daemon

import (
	"github.com/peppertrail/peppertrail/pkg/commit"
	"github.com/peppertrail/peppertrail/pkg/telemetry"
)

// commitCounts turns the statistics of the present committer into counters.
type commitCounts struct {
	committer *commit.Committer
	last      commit.Stats
}

// update adds what happened since the last call. A new registration starts
// again at zero.
func (c *commitCounts) update(s *session, metrics *telemetry.Metrics) {
	if s == nil {
		return
	}
	if c.committer != s.committer {
		c.committer = s.committer
		c.last = commit.Stats{}
	}
	now := s.committer.Stats()
	metrics.CommittedBy(telemetry.CommitDone, now.Committed-c.last.Committed)
	metrics.CommittedBy(telemetry.CommitConflict, now.Conflicted-c.last.Conflicted)
	metrics.CommittedBy(telemetry.CommitUnknown, now.Resubmitted-c.last.Resubmitted)
	c.last = now
}
