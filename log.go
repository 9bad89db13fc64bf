package azuretiller

import "context"

// Log is the platform's append-only log.
type Log interface {
	// Append adds a record and returns its offset. After an error the record may or may not be in the log.
	Append(ctx context.Context, data []byte) (Offset, error)
	// Read returns up to limit entries in order, starting at offset from, and the oldest offset that the log retains.
	Read(ctx context.Context, from Offset, limit int) (entries []LogEntry, oldest Offset, err error)
}
