package azuretiller

// Era counts how often the store has come back from a copy. Records that the copy lacks are lost, and their offsets are used again.
type Era uint32
