package tree

import (
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/field"
)

// Tree maps the path of each branch to the fields that the branch sets itself, as JSON texts. A Tree is immutable.
type Tree struct {
	branches map[string]map[string]string
}

const maxPathBytes = 512

// New returns a tree that has only the root branch.
func New() *Tree {
	return &Tree{branches: map[string]map[string]string{"/": {}}}
}

// FromBranches returns a tree with copies of the given branches and with any missing parent branches.
func FromBranches(branches map[string]map[string]string) *Tree {
	t := New()
	for path, fields := range branches {
		t.ensureBranch(path)
		t.branches[path] = maps.Clone(fields)
		if t.branches[path] == nil {
			t.branches[path] = map[string]string{}
		}
	}
	return t
}

// Apply returns a copy of the tree with the changes applied, or an error that names the first change that is invalid.
func (t *Tree) Apply(changes []azuretiller.Change) (*Tree, error) {
	next := &Tree{branches: maps.Clone(t.branches)}
	for i, c := range changes {
		if err := next.apply(c); err != nil {
			return nil, errors.Wrapf(err, "change %d of %s", i+1, c.Path)
		}
	}
	return next, nil
}

func (t *Tree) apply(c azuretiller.Change) error {
	if err := CheckPath(c.Path); err != nil {
		return err
	}
	switch c.Kind {
	case azuretiller.ChangeSet:
		return t.set(c)
	case azuretiller.ChangeUnset:
		return t.unset(c)
	case azuretiller.ChangeMake:
		t.ensureBranch(c.Path)
		return nil
	case azuretiller.ChangeDelete:
		return t.remove(c.Path)
	default:
		return errors.Newf("unknown kind of change %d", c.Kind)
	}
}

func (t *Tree) set(c azuretiller.Change) error {
	f, ok := field.Find(c.Field)
	if !ok {
		return errors.Newf("unknown field %q", c.Field)
	}
	if err := f.Check(c.Value); err != nil {
		return errors.Wrapf(err, "field %s", c.Field)
	}
	t.ensureBranch(c.Path)
	t.cloneFields(c.Path)[c.Field] = c.Value
	return nil
}

func (t *Tree) unset(c azuretiller.Change) error {
	if _, ok := t.branches[c.Path][c.Field]; !ok {
		return errors.Newf("field %s is not set there", c.Field)
	}
	delete(t.cloneFields(c.Path), c.Field)
	return nil
}

func (t *Tree) remove(path string) error {
	if path == "/" {
		return errors.New("the root branch cannot be deleted")
	}
	if _, ok := t.branches[path]; !ok {
		return errors.New("there is no such branch")
	}
	for other := range t.branches {
		if Within(other, path) {
			delete(t.branches, other)
		}
	}
	return nil
}

// cloneFields replaces the fields of a branch, which may be shared with another tree, by a copy that can be modified.
func (t *Tree) cloneFields(path string) map[string]string {
	fields := maps.Clone(t.branches[path])
	t.branches[path] = fields
	return fields
}

func (t *Tree) ensureBranch(path string) {
	for p := path; ; p = Parent(p) {
		if _, ok := t.branches[p]; !ok {
			t.branches[p] = map[string]string{}
		}
		if p == "/" {
			return
		}
	}
}

// Has reports whether the tree has a branch with the given path.
func (t *Tree) Has(path string) bool {
	_, ok := t.branches[path]
	return ok
}

// Fields returns a copy of the fields that a branch sets itself.
func (t *Tree) Fields(path string) map[string]string {
	return maps.Clone(t.branches[path])
}

// Lookup returns the effective JSON text of a field and the path of the branch that sets it. If no branch sets the field, it
// returns the default and an empty path.
func (t *Tree) Lookup(path, name string) (value, source string) {
	if raw, source, ok := t.NearestValue(path, name); ok {
		return raw, source
	}
	f, _ := field.Find(name)
	return f.Default, ""
}

// NearestValue returns the JSON text of a field from the nearest branch that sets it, searching from path up to the root, and
// the path of that branch. It returns false if no branch sets the field.
func (t *Tree) NearestValue(path, name string) (value, source string, ok bool) {
	for p := path; ; p = Parent(p) {
		if raw, ok := t.branches[p][name]; ok {
			return raw, p, true
		}
		if p == "/" {
			return "", "", false
		}
	}
}

// Paths returns the paths of all branches, sorted.
func (t *Tree) Paths() []string {
	return slices.Sorted(maps.Keys(t.branches))
}

// Branches returns a deep copy of the branches.
func (t *Tree) Branches() map[string]map[string]string {
	out := make(map[string]map[string]string, len(t.branches))
	for path, fields := range t.branches {
		out[path] = maps.Clone(fields)
	}
	return out
}

// Parent returns the path of the branch that a branch inherits from; the root is its own parent.
func Parent(path string) string {
	i := strings.LastIndexByte(path, '/')
	if i <= 0 {
		return "/"
	}
	return path[:i]
}

// Base returns the last element of a path.
func Base(path string) string {
	return path[strings.LastIndexByte(path, '/')+1:]
}

// Within reports whether path is equal to ancestor or lies below it.
func Within(path, ancestor string) bool {
	return path == ancestor || ancestor == "/" || strings.HasPrefix(path, ancestor+"/")
}

// CheckPath returns an error if path is not a valid path of a branch.
func CheckPath(path string) error {
	if path == "/" {
		return nil
	}
	if len(path) > maxPathBytes {
		return errors.Newf("path is longer than %d bytes", maxPathBytes)
	}
	if !strings.HasPrefix(path, "/") {
		return errors.Newf("path %q does not begin with /", path)
	}
	for element := range strings.SplitSeq(path[1:], "/") {
		if !validElement(element) {
			return errors.Newf("path %q has the element %q; letters, digits and . _ : - are allowed", path, element)
		}
	}
	return nil
}

func validElement(element string) bool {
	if element == "" || element == "." || element == ".." {
		return false
	}
	for _, r := range element {
		alphanumeric := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !alphanumeric && !strings.ContainsRune("._:-", r) {
			return false
		}
	}
	return true
}
