package azuretiller

// Entry is one record of the platform's log with its offset.
type Entry struct {
	Offset Offset
	Data   []byte
}
