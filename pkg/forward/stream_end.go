package forward

// StreamEnd says how the event stream of a target ended. It is a label of metrics.
type StreamEnd string

// Ends of event streams.
const (
	StreamComplete    StreamEnd = "complete"         // the body ended after a complete event
	StreamMidEvent    StreamEnd = "incomplete_event" // the body ended regularly within an event
	StreamInterrupted StreamEnd = "interrupted"      // the connection failed before the end of the body
	StreamCancelled   StreamEnd = "cancelled"        // the caller disconnected, or the deadline passed
)
