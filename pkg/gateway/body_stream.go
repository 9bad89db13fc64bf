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
	// result is the result of the attempt if copy returned an error.
	result message.Result
}

// copy copies the body until it ends, at most until the given time. The context ends when the caller disconnects.
func (s *bodyStream) copy(ctx context.Context, deadline time.Time) error {
	buffer := make([]byte, copyBufferSize)
	started := s.clock.Now()
	var forCaller time.Duration
	for {
		n, readErr := s.server.Read(buffer)
		writing := s.clock.Now()
		_, writeErr := s.caller.Write(buffer[:n])
		now := s.clock.Now()
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
