package settings

import (
	"maps"
	"slices"
)

func join(parent, field string) string {
	if parent == "" {
		return field
	}
	return parent + "." + field
}

func nameOrFile(name string) string {
	if name == "" {
		return "file"
	}
	return name
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
