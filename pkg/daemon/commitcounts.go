package daemon

import (
	"github.com/peppertrail/peppertrail/pkg/commit"
	"github.com/peppertrail/peppertrail/pkg/telemetry"
)

// commitCounts converts the statistics of the current committer into counter metrics.
type commitCounts struct {
	committer *commit.Committer
	last      commit.Stats
}

// update adds the commits since the last call to the counters. A new session has
// a new committer whose statistics start at zero.
func (c *commitCounts) update(s *session, metrics *telemetry.Metrics) {
	if s == nil {
		return
	}
	if c.committer != s.committer {
		c.committer = s.committer
		c.last = commit.Stats{}
	}
	now := s.committer.Stats()
	metrics.AddCommitted(telemetry.CommitDone, now.Committed-c.last.Committed)
	metrics.AddCommitted(telemetry.CommitConflict, now.Conflicted-c.last.Conflicted)
	metrics.AddCommitted(telemetry.CommitUnknown, now.Resubmitted-c.last.Resubmitted)
	c.last = now
}
