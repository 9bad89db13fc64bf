package record

import "github.com/azuretiller/azuretiller"

// Record is the decoded content of one log entry; Body is an Edit, a Join, a Removal or a Checkpoint.
type Record struct {
	// ID is unique. Of several records with the same ID, only the first one in the log is applied.
	ID     string
	Author azuretiller.VMID
	// Base is the revision of the settings that the record is based on.
	Base azuretiller.Revision
	Body Body
}

// Body is the content of a record.
type Body interface {
	// Kind returns the name of the kind of content, as shown in dumps and logs.
	Kind() string
}

// Edit changes the settings tree.
type Edit struct {
	Operator string
	Comment  string
	Changes  []azuretiller.Change
}

// Join makes a VM a member of the roster, or replaces its former incarnation.
type Join struct {
	VM azuretiller.VM
}

// Removal removes one incarnation of a VM from the roster.
type Removal struct {
	VM          azuretiller.VMID
	Incarnation azuretiller.Incarnation
	Reason      string
}

// Checkpoint is the whole state after all records with an offset below NextOffset were applied.
type Checkpoint struct {
	NextOffset     azuretiller.Offset
	Revision       azuretiller.Revision
	RosterRevision azuretiller.Revision
	// Branches maps the path of each branch of the settings tree to the fields that it sets, as JSON texts.
	Branches    map[string]map[string]string
	Members     []azuretiller.VM
	Verdicts    []Verdict
	LastChanges []LastChange
}

// Verdict is the result of applying one record: whether it was accepted, and the reason if it was rejected.
type Verdict struct {
	ID       string
	Kind     string
	Offset   azuretiller.Offset
	Accepted bool
	Reason   string
	Operator string
	Comment  string
	Paths    []string
}

// LastChange is the last accepted change of one branch.
type LastChange struct {
	Path     string
	Offset   azuretiller.Offset
	Operator string
}

// Kind returns "edit".
func (Edit) Kind() string { return "edit" }

// Kind returns "join".
func (Join) Kind() string { return "join" }

// Kind returns "removal".
func (Removal) Kind() string { return "removal" }

// Kind returns "checkpoint".
func (Checkpoint) Kind() string { return "checkpoint" }
