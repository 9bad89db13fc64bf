package azuretiller

import "context"

// Log is the platform's append-only log.
type Log interface {
	// Append adds data and returns its offset; after an error the record may or may not be in the log.
	Append(ctx context.Context, data []byte) (Offset, error)
	// Read returns entries from an offset on, in order, and the oldest offset that is still kept.
	Read(ctx context.Context, from Offset, most int) (entries []Entry, oldest Offset, err error)
}
