package bundle

import "fmt"

// ChangeKind is the kind of a difference between two bundles.
type ChangeKind string

// Kinds of change.
const (
	AddedEntry   ChangeKind = "added"
	RemovedEntry ChangeKind = "removed"
	ChangedField ChangeKind = "changed"
)

// Change is one difference between two bundles.
type Change struct {
	Path   string     `json:"path"` // for example customers[regie].max_priority
	Kind   ChangeKind `json:"kind"`
	Before string     `json:"before,omitempty"` // JSON; empty if the entry was added
	After  string     `json:"after,omitempty"`  // JSON; empty if the entry was removed
}

// String formats the change on one line.
func (c Change) String() string {
	switch c.Kind {
	case AddedEntry:
		return fmt.Sprintf("+ %s: %s", c.Path, c.After)
	case RemovedEntry:
		return fmt.Sprintf("- %s: %s", c.Path, c.Before)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Before, c.After)
	}
}
