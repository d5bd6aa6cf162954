package proxy

import "time"

// Rules are the faults of a proxy. The zero value forwards everything.
type Rules struct {
	Delay        time.Duration // before each forwarded piece of data, in both directions
	CutUpstream  bool          // data towards the upstream is held until healed
	CutClient    bool          // data towards the client is held until healed
	HalfOpen     bool          // new connections are accepted and never forwarded
	DropReplies  bool          // a connection is reset when its upstream answers, so the call took effect
	ResetOnReply bool          // a connection is reset after the next forwarded reply data
	Refuse       bool          // new connections are refused
}

// Cut returns the rules of a partition in both directions.
func Cut() Rules {
	return Rules{CutUpstream: true, CutClient: true}
}
