package route

import "github.com/peppertrail/peppertrail/pkg/rendezvous"

// affinityScore ranks a target for a prompt prefix. All daemons send a prefix
// to the same targets.
func affinityScore(prefix, id string) uint64 { return rendezvous.Score(prefix, id) }
