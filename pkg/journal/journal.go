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
	// keptVerdicts is how many records back a duplicate is recognised and a verdict can be asked for.
	keptVerdicts = 2048
	// checkpointHistory is how many verdicts and touches a checkpoint carries.
	checkpointHistory = keptVerdicts
)

// Journal is the state that the records of the log add up to.
type Journal struct {
	next     azuretiller.Offset
	revision azuretiller.Revision
	roster   azuretiller.Revision
	tree     *tree.Tree
	config   *config.Config
	members  map[azuretiller.VMID]azuretiller.VM
	verdicts []record.Verdict
	seen     map[string]int
	touches  map[string]record.Touch
	// dropped counts the verdicts that were removed from the front, so that seen can hold stable positions.
	dropped int
}

// New returns the state before the first record.
func New() *Journal {
	t := tree.New()
	c, err := config.Compile(t)
	if err != nil {
		panic(errors.Wrap(err, "compile the empty tree"))
	}
	return &Journal{
		next:    1,
		tree:    t,
		config:  c,
		members: map[azuretiller.VMID]azuretiller.VM{},
		seen:    map[string]int{},
		touches: map[string]record.Touch{},
	}
}

// Restore returns the state that a checkpoint describes, or an error when its tree is not valid.
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
		j.remember(v)
	}
	for _, touch := range c.Touches {
		j.touches[touch.Path] = touch
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

// Members returns the roster sorted by VM.
func (j *Journal) Members() []azuretiller.VM {
	out := slices.Collect(maps.Values(j.members))
	slices.SortFunc(out, func(a, b azuretiller.VM) int { return compare(a.ID, b.ID) })
	return out
}

// Member returns the roster's row of a VM and whether there is one.
func (j *Journal) Member(id azuretiller.VMID) (azuretiller.VM, bool) {
	vm, ok := j.members[id]
	return vm, ok
}

// Verdict returns what became of a record, while it is remembered.
func (j *Journal) Verdict(id string) (record.Verdict, bool) {
	i, ok := j.seen[id]
	if !ok {
		return record.Verdict{}, false
	}
	return j.verdicts[i-j.dropped], true
}

// History returns the remembered verdicts, the oldest first.
func (j *Journal) History() []record.Verdict { return slices.Clone(j.verdicts) }

// Apply takes the entry at Next; an entry at another offset is an error and changes nothing.
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
	v := j.judge(entry.Offset, r)
	if v.Kind != (record.Checkpoint{}).Kind() {
		j.remember(v)
	}
	return v, nil
}

func (j *Journal) judge(offset azuretiller.Offset, r record.Record) record.Verdict {
	v := record.Verdict{ID: r.ID, Kind: r.Body.Kind(), Offset: offset}
	var err error
	switch body := r.Body.(type) {
	case record.Edit:
		v.Operator = body.Operator
		v.Comment = body.Comment
		v.Paths = paths(body.Changes)
		err = j.edit(offset, r.Base, body)
	case record.Join:
		err = j.join(offset, body)
	case record.Removal:
		err = j.removal(offset, body)
	}
	v.Accepted = err == nil
	if err != nil {
		v.Reason = err.Error()
	}
	return v
}

func (j *Journal) edit(offset azuretiller.Offset, base azuretiller.Revision, e record.Edit) error {
	if len(e.Changes) == 0 {
		return errors.New("the edit changes nothing")
	}
	for _, c := range e.Changes {
		if touch, ok := j.conflict(c, base); ok {
			return errors.Newf("conflict: %s was changed by %s at revision %d, after revision %d that this edit is based on",
				touch.Path, touch.Operator, touch.Offset, base)
		}
	}
	next, compiled, err := Try(j.tree, e.Changes)
	if err != nil {
		return err
	}
	j.tree = next
	j.config = compiled
	j.revision = azuretiller.Revision(offset)
	for _, path := range paths(e.Changes) {
		j.touches[path] = record.Touch{Path: path, Offset: offset, Operator: e.Operator}
	}
	return nil
}

// Try returns the tree and settings that changes lead to, or an error that names what is wrong with them.
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

// conflict finds an accepted change after base that the author of c had not seen: of the same branch,
// of a branch below one that c deletes, or the deletion of a branch above.
func (j *Journal) conflict(c azuretiller.Change, base azuretiller.Revision) (record.Touch, bool) {
	for p := c.Path; ; p = tree.Parent(p) {
		touch, ok := j.touches[p]
		same := p == c.Path
		if ok && azuretiller.Revision(touch.Offset) > base && (same || !j.tree.Has(p)) {
			return touch, true
		}
		if p == "/" {
			break
		}
	}
	if c.Kind != azuretiller.ChangeDelete {
		return record.Touch{}, false
	}
	for _, path := range slices.Sorted(maps.Keys(j.touches)) {
		touch := j.touches[path]
		if tree.Within(path, c.Path) && azuretiller.Revision(touch.Offset) > base {
			return touch, true
		}
	}
	return record.Touch{}, false
}

func (j *Journal) join(offset azuretiller.Offset, body record.Join) error {
	if body.VM.ID == "" || body.VM.Zone == "" {
		return errors.New("a VM needs a name and a zone")
	}
	known, ok := j.members[body.VM.ID]
	if ok && known.Incarnation > body.VM.Incarnation {
		return errors.Newf("incarnation %d of %s is already known", known.Incarnation, known.ID)
	}
	j.members[body.VM.ID] = body.VM
	j.roster = azuretiller.Revision(offset)
	return nil
}

func (j *Journal) removal(offset azuretiller.Offset, body record.Removal) error {
	known, ok := j.members[body.VM]
	if !ok || known.Incarnation != body.Incarnation {
		return errors.Newf("incarnation %d of %s is not in the roster", body.Incarnation, body.VM)
	}
	delete(j.members, body.VM)
	j.roster = azuretiller.Revision(offset)
	return nil
}

// Checkpoint returns the state as the body of a record.
func (j *Journal) Checkpoint() record.Checkpoint {
	c := record.Checkpoint{
		Next:     j.next,
		Revision: j.revision,
		Roster:   j.roster,
		Branches: j.tree.Branches(),
		Members:  j.Members(),
		Verdicts: slices.Clone(j.verdicts),
	}
	if len(c.Verdicts) > checkpointHistory {
		c.Verdicts = c.Verdicts[len(c.Verdicts)-checkpointHistory:]
	}
	for _, path := range slices.Sorted(maps.Keys(j.touches)) {
		c.Touches = append(c.Touches, j.touches[path])
	}
	return c
}

func (j *Journal) remember(v record.Verdict) {
	j.seen[v.ID] = j.dropped + len(j.verdicts)
	j.verdicts = append(j.verdicts, v)
	if len(j.verdicts) <= keptVerdicts {
		return
	}
	delete(j.seen, j.verdicts[0].ID)
	j.verdicts = j.verdicts[1:]
	j.dropped++
}

func paths(changes []azuretiller.Change) []string {
	var out []string
	for _, c := range changes {
		if !slices.Contains(out, c.Path) {
			out = append(out, c.Path)
		}
	}
	slices.Sort(out)
	return out
}

func compare(a, b azuretiller.VMID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
