package azuretiller

// ChangeKind is the operation that a Change performs on its branch.
type ChangeKind int

// The kinds of change an edit can contain.
const (
	// ChangeSet sets a field of the branch to a value and creates the branch if it does not exist.
	ChangeSet ChangeKind = iota + 1
	// ChangeUnset removes a field, so that the branch inherits it again.
	ChangeUnset
	// ChangeMake creates a branch that sets no fields itself.
	ChangeMake
	// ChangeDelete removes a branch and all branches below it.
	ChangeDelete
)

// Change is one step of an edit of the settings tree.
type Change struct {
	Kind  ChangeKind
	Path  string
	Field string
	// Value is the JSON text of the value; only ChangeSet has one.
	Value string
}
