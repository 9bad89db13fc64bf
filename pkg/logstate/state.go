package logstate

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
	// maxVerdicts is the maximum number of verdicts that are kept to recognise duplicate records and to answer queries.
	maxVerdicts = 2048
	// maxCheckpointVerdicts is the maximum number of verdicts in a checkpoint.
	maxCheckpointVerdicts = maxVerdicts
)

// State is the state that results from applying the records of the log.
type State struct {
	nextOffset     azuretiller.Offset
	revision       azuretiller.Revision
	rosterRevision azuretiller.Revision
	tree           *tree.Tree
	config         *config.Config
	members        map[azuretiller.VMID]azuretiller.VM
	verdicts       []record.Verdict
	verdictIndex   map[string]int
	lastChanges    map[string]record.LastChange
	// droppedVerdicts counts the verdicts that were removed from the front of verdicts. The positions in verdictIndex include
	// them and so stay valid.
	droppedVerdicts int
}

// New returns the state before the first record is applied.
func New() *State {
	t := tree.New()
	c, err := config.Compile(t)
	if err != nil {
		panic(errors.Wrap(err, "compile the empty tree"))
	}
	return &State{
		nextOffset:   1,
		tree:         t,
		config:       c,
		members:      map[azuretiller.VMID]azuretiller.VM{},
		verdictIndex: map[string]int{},
		lastChanges:  map[string]record.LastChange{},
	}
}

// Restore returns the state that a checkpoint describes, or an error if its settings tree is not valid.
func Restore(c record.Checkpoint) (*State, error) {
	t := tree.FromBranches(c.Branches)
	compiled, err := config.Compile(t)
	if err != nil {
		return nil, errors.Wrap(err, "restore checkpoint")
	}
	s := New()
	s.nextOffset = c.NextOffset
	s.revision = c.Revision
	s.rosterRevision = c.RosterRevision
	s.tree = t
	s.config = compiled
	for _, vm := range c.Members {
		s.members[vm.ID] = vm
	}
	for _, v := range c.Verdicts {
		s.keepVerdict(v)
	}
	for _, change := range c.LastChanges {
		s.lastChanges[change.Path] = change
	}
	return s, nil
}

// NextOffset returns the offset of the first record that is not applied yet.
func (s *State) NextOffset() azuretiller.Offset { return s.nextOffset }

// Revision returns the offset of the last accepted edit.
func (s *State) Revision() azuretiller.Revision { return s.revision }

// RosterRevision returns the offset of the last record that changed the roster.
func (s *State) RosterRevision() azuretiller.Revision { return s.rosterRevision }

// Tree returns the settings tree.
func (s *State) Tree() *tree.Tree { return s.tree }

// Config returns the compiled settings.
func (s *State) Config() *config.Config { return s.config }

// Members returns the roster, sorted by VM id.
func (s *State) Members() []azuretiller.VM {
	out := slices.Collect(maps.Values(s.members))
	slices.SortFunc(out, func(a, b azuretiller.VM) int { return compareIDs(a.ID, b.ID) })
	return out
}

// Member returns the roster entry of a VM and whether there is one.
func (s *State) Member(id azuretiller.VMID) (azuretiller.VM, bool) {
	vm, ok := s.members[id]
	return vm, ok
}

// Verdict returns the verdict on a record, and false if there is none or it is no longer kept.
func (s *State) Verdict(id string) (record.Verdict, bool) {
	i, ok := s.verdictIndex[id]
	if !ok {
		return record.Verdict{}, false
	}
	return s.verdicts[i-s.droppedVerdicts], true
}

// History returns the verdicts that are kept, oldest first.
func (s *State) History() []record.Verdict { return slices.Clone(s.verdicts) }

// Apply applies the entry at offset NextOffset. For an entry at another offset it returns an error and leaves the state
// unchanged.
func (s *State) Apply(entry azuretiller.LogEntry) (record.Verdict, error) {
	if entry.Offset != s.nextOffset {
		return record.Verdict{}, errors.Newf("apply record: offset %d, want %d", entry.Offset, s.nextOffset)
	}
	s.nextOffset++
	r, err := record.Decode(entry.Data)
	if err != nil {
		// Every VM skips the same malformed entries, so this is a verdict rather than an error.
		//nolint:nilerr
		return record.Verdict{Kind: "malformed", Offset: entry.Offset, Reason: "not a well-formed record"}, nil
	}
	if first, ok := s.Verdict(r.ID); ok {
		first.Reason = "appended twice; the first counts"
		return first, nil
	}
	v := s.applyRecord(entry.Offset, r)
	if v.Kind != (record.Checkpoint{}).Kind() {
		s.keepVerdict(v)
	}
	return v, nil
}

func (s *State) applyRecord(offset azuretiller.Offset, r record.Record) record.Verdict {
	v := record.Verdict{ID: r.ID, Kind: r.Body.Kind(), Offset: offset}
	var err error
	switch body := r.Body.(type) {
	case record.Edit:
		v.Operator = body.Operator
		v.Comment = body.Comment
		v.Paths = changedPaths(body.Changes)
		err = s.applyEdit(offset, r.Base, body)
	case record.Join:
		err = s.applyJoin(offset, body)
	case record.Removal:
		err = s.applyRemoval(offset, body)
	}
	v.Accepted = err == nil
	if err != nil {
		v.Reason = err.Error()
	}
	return v
}

func (s *State) applyEdit(offset azuretiller.Offset, base azuretiller.Revision, e record.Edit) error {
	if len(e.Changes) == 0 {
		return errors.New("the edit changes nothing")
	}
	for _, c := range e.Changes {
		if change, ok := s.findConflict(c, base); ok {
			return errors.Newf("conflict: %s was changed by %s at revision %d, after revision %d that this edit is based on",
				change.Path, change.Operator, change.Offset, base)
		}
	}
	next, compiled, err := ApplyChanges(s.tree, e.Changes)
	if err != nil {
		return err
	}
	s.tree = next
	s.config = compiled
	s.revision = azuretiller.Revision(offset)
	for _, path := range changedPaths(e.Changes) {
		s.lastChanges[path] = record.LastChange{Path: path, Offset: offset, Operator: e.Operator}
	}
	return nil
}

// ApplyChanges returns the tree and the compiled settings that result from changes, or an error if the changes are not valid.
// It leaves t unchanged.
func ApplyChanges(t *tree.Tree, changes []azuretiller.Change) (*tree.Tree, *config.Config, error) {
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
func (s *State) findConflict(c azuretiller.Change, base azuretiller.Revision) (record.LastChange, bool) {
	for p := c.Path; ; p = tree.Parent(p) {
		change, ok := s.lastChanges[p]
		sameBranch := p == c.Path
		if ok && azuretiller.Revision(change.Offset) > base && (sameBranch || !s.tree.Has(p)) {
			return change, true
		}
		if p == "/" {
			break
		}
	}
	if c.Kind != azuretiller.ChangeDelete {
		return record.LastChange{}, false
	}
	for _, path := range slices.Sorted(maps.Keys(s.lastChanges)) {
		change := s.lastChanges[path]
		if tree.Within(path, c.Path) && azuretiller.Revision(change.Offset) > base {
			return change, true
		}
	}
	return record.LastChange{}, false
}

func (s *State) applyJoin(offset azuretiller.Offset, body record.Join) error {
	if body.VM.ID == "" || body.VM.Zone == "" {
		return errors.New("a VM needs a name and a zone")
	}
	member, ok := s.members[body.VM.ID]
	if ok && member.Incarnation > body.VM.Incarnation {
		return errors.Newf("incarnation %d of %s is already known", member.Incarnation, member.ID)
	}
	s.members[body.VM.ID] = body.VM
	s.rosterRevision = azuretiller.Revision(offset)
	return nil
}

func (s *State) applyRemoval(offset azuretiller.Offset, body record.Removal) error {
	member, ok := s.members[body.VM]
	if !ok || member.Incarnation != body.Incarnation {
		return errors.Newf("incarnation %d of %s is not in the roster", body.Incarnation, body.VM)
	}
	delete(s.members, body.VM)
	s.rosterRevision = azuretiller.Revision(offset)
	return nil
}

// Checkpoint returns the state as the body of a checkpoint record.
func (s *State) Checkpoint() record.Checkpoint {
	c := record.Checkpoint{
		NextOffset:     s.nextOffset,
		Revision:       s.revision,
		RosterRevision: s.rosterRevision,
		Branches:       s.tree.Branches(),
		Members:        s.Members(),
		Verdicts:       slices.Clone(s.verdicts),
	}
	if len(c.Verdicts) > maxCheckpointVerdicts {
		c.Verdicts = c.Verdicts[len(c.Verdicts)-maxCheckpointVerdicts:]
	}
	for _, path := range slices.Sorted(maps.Keys(s.lastChanges)) {
		c.LastChanges = append(c.LastChanges, s.lastChanges[path])
	}
	return c
}

func (s *State) keepVerdict(v record.Verdict) {
	s.verdictIndex[v.ID] = s.droppedVerdicts + len(s.verdicts)
	s.verdicts = append(s.verdicts, v)
	if len(s.verdicts) <= maxVerdicts {
		return
	}
	delete(s.verdictIndex, s.verdicts[0].ID)
	s.verdicts = s.verdicts[1:]
	s.droppedVerdicts++
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
