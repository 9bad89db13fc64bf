package upstream

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

var (
	// errHeadTooLarge means that the status lines and headers of a response exceed maxHeadBytes or maxHeadLines.
	errHeadTooLarge = errors.New("head of the response is too large")
	// errHeadsTooLarge means that a head exceeds unreservedHead while others use up maxHeads.
	errHeadsTooLarge = errors.New("heads of responses are too large together")
)

// headReader limits what is read for the head of a response. At a limit it returns an error, since io.EOF would end a body that has no
// length as if it were complete.
type headReader struct {
	reader io.Reader
	// bytes and lines are what has been read.
	bytes, lines int
	// reserve reserves the memory for a head beyond unreservedHead, and reserved means that it did.
	reserve   func() bool
	reserved  bool
	unlimited bool
	// ended means that the connection ended.
	ended bool
}

// Read reads from the connection.
func (r *headReader) Read(p []byte) (int, error) {
	if r.unlimited {
		return r.reader.Read(p)
	}
	limit, err := r.limit()
	if err != nil {
		return 0, err
	}
	n, err := r.reader.Read(p[:min(len(p), limit-r.bytes)])
	r.bytes += n
	r.lines += bytes.Count(p[:n], []byte("\n"))
	r.ended = err != nil
	return n, err
}

// limit returns the number of bytes up to which the head may be read now.
func (r *headReader) limit() (int, error) {
	switch {
	case r.bytes >= maxHeadBytes || r.lines > maxHeadLines:
		return 0, errHeadTooLarge
	case r.bytes < unreservedHead:
		return unreservedHead, nil
	case !r.reserved && !r.reserve():
		return 0, errHeadsTooLarge
	}
	r.reserved = true
	return maxHeadBytes, nil
}

// endHead removes the limits.
func (r *headReader) endHead() { r.unlimited = true }
