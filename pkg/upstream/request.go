package upstream

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azuretiller/azuretiller/platform"
)

// bodyBufferSize is the size in bytes of the pieces in which a request body is sent. The first one is sent together with the head.
const bodyBufferSize = 16 << 10

// errBodyInterrupted means that the body of the request ended early, since the caller disconnected or sent it too slowly.
var errBodyInterrupted = errors.New("request body interrupted by the caller")

// writeRequest sends the head and the body of a request. It returns errBodyInterrupted if the body cannot be read to its end.
func writeRequest(conn net.Conn, a Attempt) error {
	var head bytes.Buffer
	if err := writeHead(&head, a); err != nil {
		return err
	}
	if a.Body == nil || a.BodySize == 0 {
		_, err := conn.Write(head.Bytes())
		return errors.Wrap(err, "write request")
	}
	w := &pieceWriter{conn: conn, pending: head.Bytes()}
	if a.BodySize >= 0 {
		sent, err := copyBody(w, a)
		if err == nil && sent != a.BodySize {
			return errors.Wrapf(errBodyInterrupted, "body of %d bytes instead of %d", sent, a.BodySize)
		}
		return err
	}
	chunked := httputil.NewChunkedWriter(w)
	if _, err := copyBody(chunked, a); err != nil {
		return err
	}
	if err := chunked.Close(); err != nil {
		return errors.Wrap(err, "write last chunk")
	}
	_, err := io.WriteString(w, "\r\n")
	return errors.Wrap(err, "write end of chunked body")
}

func writeHead(head *bytes.Buffer, a Attempt) error {
	head.WriteString(a.Method + " " + a.Target + " HTTP/1.1\r\nHost: " + a.Host + "\r\n")
	// The headers of the caller are not copied, since a head of many lines takes many times its size.
	replaced := http.Header{}
	replaced.Set("Connection", "close")
	replaced.Set(platform.HeaderInstance, string(a.Server))
	replaced.Set(platform.HeaderDeadline, strconv.FormatInt(max(time.Until(a.Deadline).Milliseconds(), 1), 10))
	switch {
	case a.Body != nil && a.BodySize < 0:
		replaced.Set("Transfer-Encoding", "chunked")
	case a.Body != nil:
		replaced.Set("Content-Length", strconv.FormatInt(a.BodySize, 10))
	case a.Method == http.MethodPost || a.Method == http.MethodPut || a.Method == http.MethodPatch:
		replaced.Set("Content-Length", "0")
	}
	excluded := map[string]bool{"Content-Length": true}
	for name := range replaced {
		excluded[name] = true
	}
	if err := a.Headers.WriteSubset(head, excluded); err != nil {
		return errors.Wrap(err, "write request headers")
	}
	if err := replaced.Write(head); err != nil {
		return errors.Wrap(err, "write replaced request headers")
	}
	head.WriteString("\r\n")
	return nil
}

// copyBody copies the body of an attempt to w and returns its size. Errors of the body are marked as errBodyInterrupted.
func copyBody(w io.Writer, a Attempt) (int64, error) {
	size := int64(bodyBufferSize)
	if a.BodySize > 0 {
		size = min(size, a.BodySize)
	}
	buffer := make([]byte, size)
	var sent int64
	for {
		n, readErr := a.Body.Read(buffer)
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return sent, errors.Wrap(err, "write request body")
			}
			sent += int64(n)
		}
		if readErr == io.EOF {
			return sent, nil
		}
		if readErr != nil {
			return sent, errors.Mark(errors.Wrap(readErr, "read request body"), errBodyInterrupted)
		}
	}
}

// pieceWriter sends the pending bytes together with the first piece that is written, which takes one system call instead of two.
type pieceWriter struct {
	conn    net.Conn
	pending []byte
}

// Write sends a piece.
func (w *pieceWriter) Write(p []byte) (int, error) {
	piece := p
	if len(w.pending) > 0 {
		piece = append(w.pending, p...)
		w.pending = nil
	}
	if _, err := w.conn.Write(piece); err != nil {
		return 0, errors.Wrap(err, "write request")
	}
	return len(p), nil
}
