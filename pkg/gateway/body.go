package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/connlimit"
	"github.com/azuretiller/azuretiller/pkg/replay"
)

// body is the body of a caller's request. It is buffered before the first attempt, so that the time that the caller's link takes occupies
// no backend server and the request can be sent to another server. Only what exceeds maxBufferedRequest, or the memory that all buffered
// bodies share, is read while it is sent.
type body struct {
	data *replay.Body
	// size is the size in bytes that the caller declared, or -1.
	size       int64
	source     io.ReadCloser
	controller *http.ResponseController
	now        func() time.Time
	// expectsContinue means that the caller waits for a 100 Continue before it sends the body.
	expectsContinue bool
	// keepConnection means that the connection is used again although the body was not read to its end.
	keepConnection bool

	mu sync.Mutex
	// waited is the time that reads from the caller have taken; one that is under way started at waitingSince.
	waited       time.Duration
	waitingSince time.Time
	tooLarge     bool
	// late means that a read reached its deadline.
	late bool
}

// Read reads from the caller.
func (b *body) Read(p []byte) (int, error) {
	b.mu.Lock()
	b.waitingSince = b.now()
	b.mu.Unlock()
	n, err := b.source.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waited += b.now().Sub(b.waitingSince)
	b.waitingSince = time.Time{}
	var tooLarge *http.MaxBytesError
	b.tooLarge = errors.As(err, &tooLarge)
	b.late = errors.Is(err, os.ErrDeadlineExceeded)
	if err == io.EOF {
		// From now on net/http reads from the connection in order to notice that the caller disconnects.
		b.setReadDeadline(time.Time{})
	}
	return n, err
}

// callerWait returns how long reads from the caller have taken.
func (b *body) callerWait() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.waitingSince.IsZero() {
		return b.waited
	}
	return b.waited + b.now().Sub(b.waitingSince)
}

// isOverdue reports whether the caller still owes a part of the body that is being read, or that was read until the deadline.
func (b *body) isOverdue() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.late || !b.waitingSince.IsZero()
}

func (b *body) isTooLarge() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tooLarge
}

// setReadDeadline limits the time of reads from the caller. Connections without deadlines exist only in tests.
func (b *body) setReadDeadline(t time.Time) { _ = b.controller.SetReadDeadline(t) }

// interrupt makes a read from the caller that is under way fail.
func (b *body) interrupt() { b.setReadDeadline(b.now()) }

// close ends reads from the caller. If the connection is to be used again, it reads the rest of the body; net/http must not, since in
// full-duplex mode it would then read from the connection twice at the same time. It panics with http.ErrAbortHandler, which closes the
// connection, if the rest does not arrive in time.
func (b *body) close() {
	b.data.Stop(b.interrupt)
	if b.data.Ended() {
		return
	}
	b.setReadDeadline(b.now().Add(unreadBodyTimeout))
	if b.keepConnection {
		_ = b.controller.Flush()
		if _, err := io.CopyN(io.Discard, b.source, maxUnreadBody); !errors.Is(err, io.EOF) {
			// Otherwise net/http would read what is left of the body as the next request.
			panic(http.ErrAbortHandler)
		}
	}
}

// isRestSmall reports whether so little of the body is left that reading it costs less than a new connection.
func (b *body) isRestSmall() bool {
	return b.size >= 0 && b.size-b.data.Size() < maxUnreadBody && !b.expectsContinue && !b.isOverdue()
}

// readBody buffers the body of the request. It returns early if the VM stops before the request must end.
func (c *call) readBody() azuretiller.Code {
	b := c.body
	if b == nil {
		return azuretiller.CodeOK
	}
	maxBody := c.state.Config.Limits.MaxBodyBytes
	if maxBody <= 0 {
		maxBody = defaultMaxBody
	}
	if b.size > maxBody {
		return azuretiller.CodeBodyTooLarge
	}
	deadline := c.started.Add(c.timeout)
	b.source = http.MaxBytesReader(c.writer, b.source, maxBody)
	b.setReadDeadline(deadline)
	unwatch := c.gateway.stopReadingAt(deadline, b)
	err := b.data.Fill()
	unwatch()
	switch {
	case b.isTooLarge():
		return azuretiller.CodeBodyTooLarge
	case c.gateway.stopsBefore(deadline):
		return azuretiller.CodeStopping
	case err != nil && connlimit.IsEvicted(c.request.Context()):
		return azuretiller.CodeTooManyConnections
	case b.isOverdue():
		return azuretiller.CodeBodyTimeout
	case err != nil:
		return azuretiller.CodeMalformed
	}
	if size, ok := b.data.Buffered(); ok {
		b.size = size
	}
	return azuretiller.CodeOK
}

// newBody returns the body of a request, or nil if it has none.
func (g *Gateway) newBody(w http.ResponseWriter, r *http.Request) *body {
	if r.ContentLength == 0 || r.Body == nil {
		return nil
	}
	b := &body{
		size: r.ContentLength, source: r.Body, controller: http.NewResponseController(w), now: g.common.Clock.Now,
		expectsContinue: r.Header.Get("Expect") != "",
	}
	b.data = replay.New(b, maxBufferedRequest, g.bodies)
	// Otherwise net/http would read the rest of the body before it sends a response.
	_ = b.controller.EnableFullDuplex()
	return b
}

// isBuffered reports whether the whole body can be sent any number of times.
func (c *call) isBuffered() bool {
	if c.body == nil {
		return true
	}
	_, ok := c.body.data.Buffered()
	return ok
}

// isReplayable reports whether the body can be sent once more.
func (c *call) isReplayable() bool { return c.body == nil || c.body.data.Replayable() }

// bytesReceived returns how much of the body was read, in bytes.
func (c *call) bytesReceived() int64 {
	if c.body == nil {
		return 0
	}
	return c.body.data.Size()
}

// bodyReader returns a reader of the body from its start, or nil if there is no body.
func (c *call) bodyReader() io.Reader {
	if c.bodySize() == 0 {
		return nil
	}
	return c.body.data.NewReader()
}

// bodySize returns the size of the body in bytes, or -1 if it is unknown.
func (c *call) bodySize() int64 {
	if c.body == nil {
		return 0
	}
	return c.body.size
}

// callerWait returns how long reads from the caller have taken.
func (c *call) callerWait() time.Duration {
	if c.body == nil {
		return 0
	}
	return c.body.callerWait()
}

// isBodyOverdue reports whether the caller is late with a part of the body.
func (c *call) isBodyOverdue() bool { return c.body != nil && c.body.isOverdue() }
