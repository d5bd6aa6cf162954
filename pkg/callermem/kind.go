package callermem

// Kind is what memory is held for. It is a label of the metrics.
type Kind int

// Kinds.
const (
	Connections Kind = iota // buffers and stacks of connections
	Heads                   // heads of requests beyond the read buffer
	Bodies                  // bodies of requests
	Responses               // buffered bodies and incomplete events of responses
	kinds
)

// Kinds returns every kind.
func Kinds() []Kind { return []Kind{Connections, Heads, Bodies, Responses} }

// String implements fmt.Stringer.
func (k Kind) String() string {
	return [kinds]string{"connections", "heads", "bodies", "responses"}[k]
}
