package logid

import "strings"

// maxSize is the size in bytes up to which an id is logged as it is. Callers may send ids as long as a head.
const maxSize = 128

// Shorten returns an id, or the start of a long one and "...".
func Shorten(id string) string {
	if len(id) <= maxSize {
		return id
	}
	// The result does not keep the whole id in memory.
	return strings.Clone(id[:maxSize]) + "..."
}
