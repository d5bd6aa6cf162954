package route

import "github.com/peppertrail/peppertrail/pkg/rendezvous"

// affinityScore returns the rendezvous score of a target for a prompt prefix.
// The score depends on nothing else, so all daemons rank the targets of a
// prefix alike.
func affinityScore(prefix, id string) uint64 { return rendezvous.Score(prefix, id) }
