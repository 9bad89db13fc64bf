package gateway

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/message"
)

// bodyStream copies the rest of a response body from a backend server to a caller.
type bodyStream struct {
	clock  azuretiller.Clock
	caller io.Writer
	server io.Reader
	// stalled returns how long writes to the caller have waited for the turn of the response, which counts neither for the caller nor for the server.
	stalled func() time.Duration
	// end makes a read from the server fail.
	end func()
	// result is the result of the attempt if copy returned an error.
	result message.Result
}

// copy copies the body until it ends, at most until the given time and the time that writes have stalled. The context ends when the caller disconnects.
func (s *bodyStream) copy(ctx context.Context, deadline time.Time) error {
	buffer := make([]byte, copyBufferSize)
	started := s.now()
	var forCaller time.Duration
	for {
		overdue := time.AfterFunc(deadline.Sub(s.now()), s.end)
		n, readErr := s.server.Read(buffer)
		overdue.Stop()
		writing := s.now()
		_, writeErr := s.caller.Write(buffer[:n])
		now := s.now()
		forCaller += now.Sub(writing)
		switch {
		case writeErr == nil && readErr == io.EOF:
			return nil
		case writeErr == nil && readErr == nil && now.Before(deadline):
			continue
		case !now.Before(deadline) && forCaller <= now.Sub(started)/2:
			// A server that sends a body without end is at fault, unless the caller read too slowly.
			s.result = message.TimedOut
		case !now.Before(deadline) || writeErr != nil || ctx.Err() != nil:
			s.result = message.Cancelled
		default:
			s.result = message.Failed
		}
		if readErr != nil {
			return errors.Wrap(readErr, "read response body")
		}
		if writeErr != nil {
			return errors.Wrap(writeErr, "write response body")
		}
		return errors.New("the body did not end in time")
	}
}

// now returns the time without that for which writes have stalled.
func (s *bodyStream) now() time.Time { return s.clock.Now().Add(-s.stalled()) }
