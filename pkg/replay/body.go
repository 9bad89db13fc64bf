package replay

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// errSuperseded is returned by a reader after a newer reader was created.
var errSuperseded = errors.New("request body reader was replaced by that of a later attempt")

// Body buffers the data read from a source, up to a limit in bytes. Several readers can read it, one after another, as
// long as the data does not exceed the limit.
type Body struct {
	source io.Reader
	limit  int

	mu        sync.Mutex
	buffer    []byte
	overLimit bool
	// err is the error that ended the source, which is io.EOF at the end of the body.
	err          error
	activeReader *reader
}

type reader struct {
	body   *Body
	offset int
}

// New returns a body that reads from source and buffers up to limit bytes.
func New(source io.Reader, limit int) *Body {
	return &Body{source: source, limit: limit}
}

// Replayable reports whether a new reader would return the complete body.
func (b *Body) Replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.overLimit
}

// NewReader returns a reader that starts at the beginning of the body. Readers returned earlier fail from then on.
func (b *Body) NewReader() io.ReadCloser {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.activeReader = &reader{body: b}
	return b.activeReader
}

// Read returns the buffered data first and then reads from the source.
func (r *reader) Read(p []byte) (int, error) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.activeReader != r {
		return 0, errSuperseded
	}
	if !b.overLimit && r.offset < len(b.buffer) {
		n := copy(p, b.buffer[r.offset:])
		r.offset += n
		return n, nil
	}
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.source.Read(p)
	b.retain(p[:n])
	r.offset += n
	b.err = err
	return n, err
}

// Close does nothing. The owner of the source closes it.
func (r *reader) Close() error { return nil }

func (b *Body) retain(p []byte) {
	if b.overLimit {
		return
	}
	if len(b.buffer)+len(p) > b.limit {
		b.overLimit = true
		b.buffer = nil
		return
	}
	b.buffer = append(b.buffer, p...)
}
