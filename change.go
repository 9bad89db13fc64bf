package azuretiller

// ChangeKind says what a Change does to its branch.
type ChangeKind int

// The kinds of change an edit can contain.
const (
	// ChangeSet gives a field of the branch a value, making the branch if it is missing.
	ChangeSet ChangeKind = iota + 1
	// ChangeUnset removes a field, so that the branch inherits it again.
	ChangeUnset
	// ChangeMake makes a branch without any field of its own.
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
