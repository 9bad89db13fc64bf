package replay

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// errSuperseded is what a reader gets after a later one was made.
var errSuperseded = errors.New("the body is read by a later attempt")

// Body keeps what was read from a source up to a limit, so that several readers can read it in turn.
type Body struct {
	source io.Reader
	limit  int

	mu      sync.Mutex
	kept    []byte
	dropped bool
	err     error
	current *reader
}

type reader struct {
	body *Body
	at   int
}

// New returns a body over a source that keeps up to limit bytes.
func New(source io.Reader, limit int) *Body {
	return &Body{source: source, limit: limit}
}

// Replayable reports whether a new reader would see the whole body.
func (b *Body) Replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.dropped
}

// Reader returns a reader from the beginning; earlier readers fail from now on.
func (b *Body) Reader() io.ReadCloser {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current = &reader{body: b}
	return b.current
}

// Read reads what was kept and then from the source.
func (r *reader) Read(p []byte) (int, error) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current != r {
		return 0, errSuperseded
	}
	if !b.dropped && r.at < len(b.kept) {
		n := copy(p, b.kept[r.at:])
		r.at += n
		return n, nil
	}
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.source.Read(p)
	b.keep(p[:n])
	r.at += n
	b.err = err
	return n, err
}

// Close does nothing; the source is closed by its owner.
func (r *reader) Close() error { return nil }

func (b *Body) keep(p []byte) {
	if b.dropped {
		return
	}
	if len(b.kept)+len(p) > b.limit {
		b.dropped = true
		b.kept = nil
		return
	}
	b.kept = append(b.kept, p...)
}
