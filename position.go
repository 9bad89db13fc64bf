package azuretiller

// Position is a place in a log of the store: an offset in the history of one era. The zero value is before all records.
type Position struct {
	Era    Era
	Offset Offset
}

// Before reports whether p is before other; all positions of an era are before those of later eras.
func (p Position) Before(other Position) bool {
	if p.Era != other.Era {
		return p.Era < other.Era
	}
	return p.Offset < other.Offset
}
