package azuretiller

// LogEntry is one record of the platform's log with its offset.
type LogEntry struct {
	Offset Offset
	Data   []byte
}
