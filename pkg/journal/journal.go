package journal

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/record"
	"github.com/azuretiller/azuretiller/pkg/tree"
)

const (
	// verdictHistory is the number of verdicts that are kept to recognise duplicate records and to answer queries.
	verdictHistory = 2048
	// checkpointVerdicts is the maximum number of verdicts in a checkpoint.
	checkpointVerdicts = verdictHistory
)

// Journal is the state that results from applying the records of the log.
type Journal struct {
	next         azuretiller.Offset
	revision     azuretiller.Revision
	roster       azuretiller.Revision
	tree         *tree.Tree
	config       *config.Config
	members      map[azuretiller.VMID]azuretiller.VM
	verdicts     []record.Verdict
	verdictIndex map[string]int
	lastChanges  map[string]record.LastChange
	// droppedVerdicts counts the verdicts that were removed from the front of verdicts. The positions in verdictIndex include
	// them and so stay valid.
	droppedVerdicts int
}

// New returns the state before the first record is applied.
func New() *Journal {
	t := tree.New()
	c, err := config.Compile(t)
	if err != nil {
		panic(errors.Wrap(err, "compile the empty tree"))
	}
	return &Journal{
		next:         1,
		tree:         t,
		config:       c,
		members:      map[azuretiller.VMID]azuretiller.VM{},
		verdictIndex: map[string]int{},
		lastChanges:  map[string]record.LastChange{},
	}
}

// Restore returns the state that a checkpoint describes, or an error if its settings tree is not valid.
func Restore(c record.Checkpoint) (*Journal, error) {
	t := tree.FromBranches(c.Branches)
	compiled, err := config.Compile(t)
	if err != nil {
		return nil, errors.Wrap(err, "restore checkpoint")
	}
	j := New()
	j.next = c.Next
	j.revision = c.Revision
	j.roster = c.Roster
	j.tree = t
	j.config = compiled
	for _, vm := range c.Members {
		j.members[vm.ID] = vm
	}
	for _, v := range c.Verdicts {
		j.keepVerdict(v)
	}
	for _, change := range c.LastChanges {
		j.lastChanges[change.Path] = change
	}
	return j, nil
}

// Next returns the offset of the first record that is not applied yet.
func (j *Journal) Next() azuretiller.Offset { return j.next }

// Revision returns the offset of the last accepted edit.
func (j *Journal) Revision() azuretiller.Revision { return j.revision }

// RosterRevision returns the offset of the last record that changed the roster.
func (j *Journal) RosterRevision() azuretiller.Revision { return j.roster }

// Tree returns the settings tree.
func (j *Journal) Tree() *tree.Tree { return j.tree }

// Config returns the compiled settings.
func (j *Journal) Config() *config.Config { return j.config }

// Members returns the roster, sorted by VM id.
func (j *Journal) Members() []azuretiller.VM {
	out := slices.Collect(maps.Values(j.members))
	slices.SortFunc(out, func(a, b azuretiller.VM) int { return compareIDs(a.ID, b.ID) })
	return out
}

// Member returns the roster entry of a VM and whether there is one.
func (j *Journal) Member(id azuretiller.VMID) (azuretiller.VM, bool) {
	vm, ok := j.members[id]
	return vm, ok
}

// Verdict returns the verdict on a record, and false if there is none or it is no longer kept.
func (j *Journal) Verdict(id string) (record.Verdict, bool) {
	i, ok := j.verdictIndex[id]
	if !ok {
		return record.Verdict{}, false
	}
	return j.verdicts[i-j.droppedVerdicts], true
}

// History returns the verdicts that are kept, the oldest first.
func (j *Journal) History() []record.Verdict { return slices.Clone(j.verdicts) }

// Apply applies the entry at offset Next. For an entry at another offset it returns an error and leaves the state unchanged.
func (j *Journal) Apply(entry azuretiller.Entry) (record.Verdict, error) {
	if entry.Offset != j.next {
		return record.Verdict{}, errors.Newf("apply record: offset %d, want %d", entry.Offset, j.next)
	}
	j.next++
	r, err := record.Decode(entry.Data)
	if err != nil {
		// Every reader skips the same malformed entries, so this is a verdict rather than an error.
		//nolint:nilerr
		return record.Verdict{Kind: "malformed", Offset: entry.Offset, Reason: "not a well-formed record"}, nil
	}
	if first, ok := j.Verdict(r.ID); ok {
		first.Reason = "appended twice; the first counts"
		return first, nil
	}
	v := j.applyRecord(entry.Offset, r)
	if v.Kind != (record.Checkpoint{}).Kind() {
		j.keepVerdict(v)
	}
	return v, nil
}

func (j *Journal) applyRecord(offset azuretiller.Offset, r record.Record) record.Verdict {
	v := record.Verdict{ID: r.ID, Kind: r.Body.Kind(), Offset: offset}
	var err error
	switch body := r.Body.(type) {
	case record.Edit:
		v.Operator = body.Operator
		v.Comment = body.Comment
		v.Paths = changedPaths(body.Changes)
		err = j.applyEdit(offset, r.Base, body)
	case record.Join:
		err = j.applyJoin(offset, body)
	case record.Removal:
		err = j.applyRemoval(offset, body)
	}
	v.Accepted = err == nil
	if err != nil {
		v.Reason = err.Error()
	}
	return v
}

func (j *Journal) applyEdit(offset azuretiller.Offset, base azuretiller.Revision, e record.Edit) error {
	if len(e.Changes) == 0 {
		return errors.New("the edit changes nothing")
	}
	for _, c := range e.Changes {
		if change, ok := j.findConflict(c, base); ok {
			return errors.Newf("conflict: %s was changed by %s at revision %d, after revision %d that this edit is based on",
				change.Path, change.Operator, change.Offset, base)
		}
	}
	next, compiled, err := Try(j.tree, e.Changes)
	if err != nil {
		return err
	}
	j.tree = next
	j.config = compiled
	j.revision = azuretiller.Revision(offset)
	for _, path := range changedPaths(e.Changes) {
		j.lastChanges[path] = record.LastChange{Path: path, Offset: offset, Operator: e.Operator}
	}
	return nil
}

// Try returns the tree and the compiled settings that result from changes, or an error if the changes are not valid.
// It leaves t unchanged.
func Try(t *tree.Tree, changes []azuretiller.Change) (*tree.Tree, *config.Config, error) {
	next, err := t.Apply(changes)
	if err != nil {
		return nil, nil, err
	}
	compiled, err := config.Compile(next)
	if err != nil {
		return nil, nil, err
	}
	return next, compiled, nil
}

// findConflict returns an accepted change that conflicts with c, and false if there is none. Only changes after base count,
// because the author of c has not seen them. A change conflicts with c if it changed the same branch, deleted a branch above
// it, or changed a branch below one that c deletes.
func (j *Journal) findConflict(c azuretiller.Change, base azuretiller.Revision) (record.LastChange, bool) {
	for p := c.Path; ; p = tree.Parent(p) {
		change, ok := j.lastChanges[p]
		sameBranch := p == c.Path
		if ok && azuretiller.Revision(change.Offset) > base && (sameBranch || !j.tree.Has(p)) {
			return change, true
		}
		if p == "/" {
			break
		}
	}
	if c.Kind != azuretiller.ChangeDelete {
		return record.LastChange{}, false
	}
	for _, path := range slices.Sorted(maps.Keys(j.lastChanges)) {
		change := j.lastChanges[path]
		if tree.Within(path, c.Path) && azuretiller.Revision(change.Offset) > base {
			return change, true
		}
	}
	return record.LastChange{}, false
}

func (j *Journal) applyJoin(offset azuretiller.Offset, body record.Join) error {
	if body.VM.ID == "" || body.VM.Zone == "" {
		return errors.New("a VM needs a name and a zone")
	}
	member, ok := j.members[body.VM.ID]
	if ok && member.Incarnation > body.VM.Incarnation {
		return errors.Newf("incarnation %d of %s is already known", member.Incarnation, member.ID)
	}
	j.members[body.VM.ID] = body.VM
	j.roster = azuretiller.Revision(offset)
	return nil
}

func (j *Journal) applyRemoval(offset azuretiller.Offset, body record.Removal) error {
	member, ok := j.members[body.VM]
	if !ok || member.Incarnation != body.Incarnation {
		return errors.Newf("incarnation %d of %s is not in the roster", body.Incarnation, body.VM)
	}
	delete(j.members, body.VM)
	j.roster = azuretiller.Revision(offset)
	return nil
}

// Checkpoint returns the state as the body of a checkpoint record.
func (j *Journal) Checkpoint() record.Checkpoint {
	c := record.Checkpoint{
		Next:     j.next,
		Revision: j.revision,
		Roster:   j.roster,
		Branches: j.tree.Branches(),
		Members:  j.Members(),
		Verdicts: slices.Clone(j.verdicts),
	}
	if len(c.Verdicts) > checkpointVerdicts {
		c.Verdicts = c.Verdicts[len(c.Verdicts)-checkpointVerdicts:]
	}
	for _, path := range slices.Sorted(maps.Keys(j.lastChanges)) {
		c.LastChanges = append(c.LastChanges, j.lastChanges[path])
	}
	return c
}

func (j *Journal) keepVerdict(v record.Verdict) {
	j.verdictIndex[v.ID] = j.droppedVerdicts + len(j.verdicts)
	j.verdicts = append(j.verdicts, v)
	if len(j.verdicts) <= verdictHistory {
		return
	}
	delete(j.verdictIndex, j.verdicts[0].ID)
	j.verdicts = j.verdicts[1:]
	j.droppedVerdicts++
}

func changedPaths(changes []azuretiller.Change) []string {
	var out []string
	for _, c := range changes {
		if !slices.Contains(out, c.Path) {
			out = append(out, c.Path)
		}
	}
	slices.Sort(out)
	return out
}

func compareIDs(a, b azuretiller.VMID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
