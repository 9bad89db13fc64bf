package settings

import (
	"maps"
	"slices"
)

// fieldPath returns the name of a field with the names of the objects that contain it.
func fieldPath(parent, field string) string {
	if parent == "" {
		return field
	}
	return parent + "." + field
}

// nameOrFile returns the name of an object for a problem; the outermost object has no name.
func nameOrFile(name string) string {
	if name == "" {
		return "file"
	}
	return name
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
