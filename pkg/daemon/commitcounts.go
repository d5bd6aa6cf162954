package daemon

import (
	"github.com/peppertrail/peppertrail/pkg/commit"
	"github.com/peppertrail/peppertrail/pkg/telemetry"
)

// commitCounts converts the statistics of the current committer into counter metrics.
type commitCounts struct {
	committer *commit.Committer
	last      commit.Stats // statistics of committer at the last update
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
	current := s.committer.Stats()
	metrics.AddCommitted(telemetry.CommitDone, current.Committed-c.last.Committed)
	metrics.AddCommitted(telemetry.CommitConflict, current.Conflicted-c.last.Conflicted)
	metrics.AddCommitted(telemetry.CommitUnknown, current.Resubmitted-c.last.Resubmitted)
	c.last = current
}
