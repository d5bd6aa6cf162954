// Package callermem accounts for the memory that a host holds for callers: connections, heads
// and bodies of requests, and buffered responses. It decides which request may use more, and
// which incomplete body loses what it holds.
//
// It handles loads in which clients together send more than the memory of the host, or stop
// short of the end of what they send. The decisions depend on the bytes held and on the times
// passed to the functions only.
package callermem
