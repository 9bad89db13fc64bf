package replay

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/azuretiller/azuretiller/pkg/bytebudget"
)

const (
	// chunkSize is the size in bytes of the pieces in which a body is buffered, so that a slow caller occupies no more memory than it has
	// sent data.
	chunkSize = 16 << 10
	// firstChunkSize is the size in bytes that the first chunk has at first.
	firstChunkSize = 1 << 10
	// UnreservedSize is the size in bytes up to which a body is buffered even if the budget is used up.
	UnreservedSize = chunkSize
)

var (
	// errSuperseded is returned by a reader that needs the source after a newer reader was created.
	errSuperseded = errors.New("request body reader was replaced by that of a later attempt")
	// errNotReplayable is returned by a reader that starts after data was read that is not buffered.
	errNotReplayable = errors.New("request body is no longer buffered")
	// errStopped is returned by a reader that needs the source after Stop.
	errStopped = errors.New("request body is no longer read")
)

// Body buffers the data read from a source, up to a limit in bytes and within a budget. Several readers can read it, one after another, as
// long as all data read so far is buffered, and at the same time once the whole body is. The buffer is released as soon as the body
// exceeds it.
type Body struct {
	source io.Reader
	limit  int
	// budget is nil if only the limit applies.
	budget *bytebudget.Budget

	// sourceMu is held while the source is read. It is acquired before mu.
	sourceMu sync.Mutex

	mu     sync.Mutex
	chunks [][]byte
	// read is the number of bytes read from the source.
	read     int64
	reserved int64
	released bool
	// overLimit means that data was read that is not buffered.
	overLimit bool
	stopped   bool
	// err is the error that ended the source, which is io.EOF at the end of the body.
	err          error
	activeReader *reader
}

type reader struct {
	body   *Body
	offset int64
}

// New returns a body that reads from source and buffers up to limit bytes. All of them but the first UnreservedSize bytes are reserved
// from the budget, if there is one.
func New(source io.Reader, limit int, budget *bytebudget.Budget) *Body {
	return &Body{source: source, limit: limit, budget: budget}
}

// Fill buffers data until the end of the body, or until no more may be buffered. It must not be called while there is a reader.
func (b *Body) Fill() error {
	for {
		b.sourceMu.Lock()
		space := b.space()
		if space == nil {
			b.sourceMu.Unlock()
			return nil
		}
		err := b.fetch(space)
		b.sourceMu.Unlock()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// Replayable reports whether a new reader would return the complete body.
func (b *Body) Replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.overLimit
}

// Buffered reports whether the whole body is buffered, and its size in bytes.
func (b *Body) Buffered() (size int64, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.read, errors.Is(b.err, io.EOF) && !b.overLimit
}

// Ended reports whether the source was read to the end of the body.
func (b *Body) Ended() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return errors.Is(b.err, io.EOF)
}

// Size returns the number of bytes read from the source.
func (b *Body) Size() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.read
}

// WriteBuffered writes the data that is buffered.
func (b *Body) WriteBuffered(w io.Writer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, chunk := range b.chunks {
		_, _ = w.Write(chunk)
	}
}

// NewReader returns a reader that starts at the beginning of the body. Readers returned earlier get only data that is buffered from then
// on.
func (b *Body) NewReader() io.ReadCloser {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.activeReader = &reader{body: b}
	return b.activeReader
}

// Stop ends all reads from the source and returns the reserved memory. If a read is under way, interrupt must make it return.
func (b *Body) Stop(interrupt func()) {
	b.mu.Lock()
	b.stopped = true
	b.release()
	b.mu.Unlock()
	if !b.sourceMu.TryLock() {
		interrupt()
		b.sourceMu.Lock()
	}
	b.sourceMu.Unlock()
}

// Read returns the buffered data first and then reads from the source.
func (r *reader) Read(p []byte) (int, error) {
	if n, err, ok := r.readBuffered(p); ok {
		return n, err
	}
	b := r.body
	b.sourceMu.Lock()
	defer b.sourceMu.Unlock()
	if n, err, ok := r.readBuffered(p); ok {
		return n, err
	}
	if space := b.space(); space != nil {
		_ = b.fetch(space[:min(len(space), len(p))])
		n, err, _ := r.readBuffered(p)
		return n, err
	}
	return r.readSource(p)
}

// readBuffered returns buffered data, or the reason why there is none. It reports false if the source must be read.
func (r *reader) readBuffered(p []byte) (n int, err error, ok bool) { //nolint:revive // the error belongs to the data, as in Read
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.overLimit && r.offset < b.read:
		return 0, errNotReplayable, true
	case r.offset < b.read:
		index, start := int(r.offset/chunkSize), int(r.offset%chunkSize)
		n = copy(p, b.chunks[index][start:])
		r.offset += int64(n)
		return n, nil, true
	case b.err != nil:
		return 0, b.err, true
	case b.activeReader != r:
		return 0, errSuperseded, true
	case b.stopped:
		return 0, errStopped, true
	}
	return 0, nil, false
}

// readSource reads data that is not buffered.
func (r *reader) readSource(p []byte) (int, error) {
	b := r.body
	b.mu.Lock()
	b.overLimit = true
	b.release()
	b.mu.Unlock()
	n, err := b.source.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.read += int64(n)
	r.offset += int64(n)
	b.err = err
	if b.activeReader != r {
		return 0, errSuperseded
	}
	return n, err
}

// Close does nothing. The owner of the source closes it.
func (r *reader) Close() error { return nil }

// space returns the free part of the last chunk, or nil if no more may be buffered or the source has ended.
func (b *Body) space() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil || b.overLimit || b.stopped || b.read >= int64(b.limit) {
		return nil
	}
	if used := int(b.read % chunkSize); used > 0 {
		chunk := b.chunks[len(b.chunks)-1]
		if used == cap(chunk) {
			// The first chunk starts small, since most bodies are.
			chunk = append(make([]byte, 0, min(4*cap(chunk), chunkSize)), chunk...)
			b.chunks[len(b.chunks)-1] = chunk
		}
		return chunk[used:cap(chunk)]
	}
	if b.read < UnreservedSize {
		b.chunks = [][]byte{make([]byte, 0, firstChunkSize)}
		return b.chunks[0][:firstChunkSize]
	}
	if b.budget != nil && !b.budget.Take(chunkSize) {
		return nil
	}
	b.reserved += chunkSize
	b.chunks = append(b.chunks, make([]byte, 0, chunkSize))
	return b.chunks[len(b.chunks)-1][:chunkSize]
}

// fetch reads data into the free part of the last chunk.
func (b *Body) fetch(space []byte) error {
	n, err := b.source.Read(space)
	b.mu.Lock()
	defer b.mu.Unlock()
	last := len(b.chunks) - 1
	b.chunks[last] = b.chunks[last][:len(b.chunks[last])+n]
	b.read += int64(n)
	b.err = err
	return err
}

// release returns the reserved memory to the budget. The chunks stay if they may still be read.
func (b *Body) release() {
	if b.overLimit {
		b.chunks = nil
	}
	if b.budget != nil && !b.released {
		b.released = true
		b.budget.Put(b.reserved)
	}
}
