package registrycache

// zoneSource is where the state of a zone was read.
type zoneSource int

const (
	// fromChange is a record that was written since the last read.
	fromChange zoneSource = iota
	// fromCompletePage is the newest record, or the lack of one. After a restore, it may be of the copy.
	fromCompletePage
	// fromCopy is the first complete page after a restore.
	fromCopy
)
