package ingress

import (
	"context"
	"crypto/sha256"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/connlimit"
	"github.com/azuretiller/azuretiller/pkg/forward"
	"github.com/azuretiller/azuretiller/pkg/headers"
	"github.com/azuretiller/azuretiller/pkg/idempotency"
	"github.com/azuretiller/azuretiller/pkg/replay"
	"github.com/azuretiller/azuretiller/pkg/topology"
	"github.com/azuretiller/azuretiller/pkg/wire"
)

const (
	// maxReplayBytes is the size of the largest request body that is buffered, so that it can be sent to another pool.
	maxReplayBytes = 64 << 10
	// maxPools is the maximum number of pools that a request is sent to.
	maxPools = 3
	// ownerPolls times ownerPollInterval is the maximum time that a request waits until this VM learns the new owner of a pool.
	ownerPolls        = 50
	ownerPollInterval = 20 * time.Millisecond
	// responseGrace is how much longer than the timeout of the request this VM waits for the response of the pool's owner.
	responseGrace = 2 * time.Second
)

// serve forwards an authorized request. A request that has a request ID and is not idempotent runs at most once.
func (c *call) serve(ctx context.Context) {
	c.limitBody()
	body := replay.New(c.request.Body, maxReplayBytes, nil)
	idempotent := c.route.IsIdempotent(c.request.Method)
	c.requestID = requestID(c.request.Header.Get(headers.IdempotencyKey))
	fingerprint, err := c.fingerprint(body)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.refuseLateBody(ctx)
		return
	}
	if idempotent || c.requestID == "" {
		c.forward(ctx, body, c.requestHead(fingerprint, idempotent))
		return
	}
	c.serveOnce(ctx, body, c.requestHead(fingerprint, false))
}

// refuseLateBody refuses a request that no other VM and no backend server has got, since its body has not arrived.
func (c *call) refuseLateBody(ctx context.Context) {
	c.writer.Header().Set("Connection", "close")
	if c.handler.stopped.Err() != nil {
		c.refuse(azuretiller.CodeStopping, time.Second, "")
		return
	}
	if connlimit.IsEvicted(ctx) {
		c.refuse(azuretiller.CodeTooManyConnections, time.Second, "")
		return
	}
	c.refuse(azuretiller.CodeBodyTimeout, 0, "")
}

// limitBody makes reads of the request body fail if the body is too large or arrives too slowly.
func (c *call) limitBody() {
	c.request.Body = http.MaxBytesReader(c.writer, c.request.Body, c.route.MaxBodyBytes)
	_ = http.NewResponseController(c.writer).EnableFullDuplex()
	c.request.Body = &deadlineBody{
		ReadCloser: c.request.Body,
		controller: http.NewResponseController(c.writer),
		end:        time.Now().Add(c.timeout()),
		stopped:    c.handler.stopped,
	}
}

// timeout returns the timeout of the request.
func (c *call) timeout() time.Duration {
	return c.route.RequestTimeout(c.request.Header.Get(headers.Timeout))
}

// deadlineBody is a request body that sets a new read deadline before each read.
type deadlineBody struct {
	io.ReadCloser
	controller *http.ResponseController
	// end is when the request times out.
	end time.Time
	// stopped ends when the VM stops.
	stopped context.Context
}

// Read reads from the body within ioTimeout, and before the request times out or the VM stops.
func (b *deadlineBody) Read(p []byte) (int, error) {
	deadline := time.Now().Add(ioTimeout)
	if b.end.Before(deadline) {
		deadline = b.end
	}
	_ = b.controller.SetReadDeadline(deadline)
	defer context.AfterFunc(b.stopped, func() { _ = b.controller.SetReadDeadline(time.Now()) })()
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		// After another error, net/http must not wait for the rest of the body.
		_ = b.controller.SetReadDeadline(time.Time{})
	}
	return n, err
}

// fingerprint returns a hash of the team, route, method, target and start of the body. Equal requests have equal hashes. It returns the error
// with which the body ended early.
func (c *call) fingerprint(body *replay.Body) (hashed []byte, err error) {
	hash := sha256.New()
	for _, part := range []string{string(c.team.ID), string(c.route.ID), c.request.Method, c.request.URL.RequestURI()} {
		_, _ = io.WriteString(hash, part)
		_, _ = hash.Write([]byte{0})
	}
	if c.request.ContentLength != 0 {
		_, err = io.CopyN(hash, body.NewReader(), maxReplayBytes/2)
	}
	return hash.Sum(nil), err
}

func (c *call) requestHead(fingerprint []byte, idempotent bool) forward.Request {
	h := c.request.Header.Clone()
	trailer := declaredTrailers(c.request)
	headers.StripHopByHop(h)
	headers.StripKey(h, c.key)
	headers.StripFleetHeaders(h)
	if len(trailer) > 0 {
		h["Trailer"] = trailer
	}
	return forward.Request{
		TraceID:     c.traceID,
		Team:        c.team.ID,
		Weight:      c.team.Weight,
		Route:       c.route.ID,
		Method:      c.request.Method,
		Target:      headers.RedactKey(c.request.URL, c.key),
		Host:        c.request.Host,
		Headers:     h,
		Length:      c.request.ContentLength,
		Idempotent:  idempotent,
		Retries:     c.route.MaxRetries,
		Fingerprint: fingerprint,
		Replayable:  c.requestID != "",
	}
}

func declaredTrailers(r *http.Request) []string {
	var names []string
	for name := range r.Trailer {
		names = append(names, name)
	}
	return names
}

// forward sends the request to one pool after the other until one answers with CodeOK or the request cannot be safely sent
// again. It returns the response that the caller received, for the ID store.
func (c *call) forward(ctx context.Context, body *replay.Body, head forward.Request) idempotency.Response {
	deadline := c.started.Add(c.timeout())
	failure := forward.Response{Code: azuretiller.CodeNoServer, RetryAfter: time.Second}
	pools := c.handler.picker.Order(c.snapshot.Topology[c.route.Service])
	for _, p := range pools[:min(len(pools), maxPools)] {
		head.Pool = p.ID
		head.Timeout = deadline.Sub(c.handler.common.Clock.Now())
		if head.Timeout <= 0 || ctx.Err() != nil {
			break
		}
		stored, response := c.tryPool(ctx, body, head, p)
		if response.Code == azuretiller.CodeOK {
			return stored
		}
		mayHaveRun := failure.Code.Outcome() != azuretiller.NotRun
		if !mayHaveRun || response.Code.Outcome() != azuretiller.NotRun {
			failure = response
		}
		c.handler.picker.ObserveRefusal(p.ID)
		if !body.Replayable() || failure.Code.Outcome() != azuretiller.NotRun && !head.Idempotent {
			break
		}
		head.MayHaveRun = head.MayHaveRun || failure.Code.Outcome() != azuretiller.NotRun
	}
	c.refuse(failure.Code, failure.RetryAfter, failure.Detail)
	return idempotency.Response{Code: failure.Code, Replayable: true}
}

// tryPool sends the request to the owner of a pool. If the pool has moved, it waits for the new owner and tries again.
func (c *call) tryPool(ctx context.Context, body *replay.Body, head forward.Request, p topology.Pool) (idempotency.Response, forward.Response) {
	deadline := c.handler.common.Clock.Now().Add(head.Timeout)
	stored, response := c.tryOwner(ctx, body, head, p)
	for response.Code == azuretiller.CodePoolMoved && body.Replayable() {
		next, ok := c.waitForNewOwner(ctx, p)
		head.Timeout = deadline.Sub(c.handler.common.Clock.Now())
		if !ok || head.Timeout <= 0 {
			break
		}
		p = next
		stored, response = c.tryOwner(ctx, body, head, p)
	}
	return stored, response
}

// waitForNewOwner waits until the topology shows another owner of the pool, for at most ownerPolls times ownerPollInterval.
func (c *call) waitForNewOwner(ctx context.Context, p topology.Pool) (topology.Pool, bool) {
	for range ownerPolls {
		if next, ok := c.handler.current().Topology.Find(p.ID); ok && next.Owner.ID != p.Owner.ID {
			return next, true
		}
		select {
		case <-ctx.Done():
			return p, false
		case <-time.After(ownerPollInterval):
		}
	}
	return p, false
}

// tryOwner sends the request to the owner of a pool and copies a successful response to the caller.
func (c *call) tryOwner(ctx context.Context, body *replay.Body, head forward.Request, p topology.Pool) (idempotency.Response, forward.Response) {
	c.pool = p.ID
	stream, err := c.handler.opener.Open(ctx, p.Owner)
	if err != nil {
		return idempotency.Response{}, forward.Response{Code: azuretiller.CodeHomeUnreachable, RetryAfter: time.Second}
	}
	defer func() { _ = stream.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	_ = stream.SetDeadline(time.Now().Add(head.Timeout + responseGrace))
	if err := stream.WriteRequest(head); err != nil {
		return idempotency.Response{}, connectionLost(ctx)
	}
	go c.sendBody(stream, body)
	response, err := stream.ReadResponse()
	if err != nil || !stop() {
		return idempotency.Response{}, connectionLost(ctx)
	}
	// The stop of the VM does not break off a response that has begun.
	defer context.AfterFunc(c.request.Context(), func() { _ = stream.Close() })()
	_ = stream.SetDeadline(time.Time{})
	c.recordResponse(p, response)
	if response.Code != azuretiller.CodeOK {
		return idempotency.Response{}, response
	}
	connlimit.MarkServed(ctx)
	kept, storable := c.streamBody(response, stream)
	return idempotency.Response{Code: response.Code, Status: response.Status, Headers: response.Headers, Body: kept, Replayable: storable}, response
}

// connectionLost returns the response to a request whose connection failed after the pool's owner may have received it.
func connectionLost(ctx context.Context) forward.Response {
	if errors.Is(context.Cause(ctx), errStopped) {
		return forward.Response{Code: azuretiller.CodeStopped}
	}
	if ctx.Err() != nil {
		return forward.Response{Code: azuretiller.CodeCancelled}
	}
	return forward.Response{Code: azuretiller.CodeHomeLost}
}

func (c *call) recordResponse(p topology.Pool, r forward.Response) {
	c.handler.picker.ObserveLoad(p.ID, r.Load)
	c.server = r.Server
	c.attempts += r.Attempts
	c.serviceTime += r.ServiceTime
	c.queueTime += r.QueueTime
}

// sendBody sends the request body in frames; the code of the last frame says whether the body is complete.
func (c *call) sendBody(stream *wire.Stream, body *replay.Body) {
	if c.request.ContentLength == 0 {
		_ = stream.WriteFrame(forward.Frame{End: true, Code: azuretiller.CodeOK})
		return
	}
	reader := body.NewReader()
	buffer := wire.FrameBuffer(c.request.ContentLength)
	for {
		n, err := reader.Read(buffer)
		if n > 0 {
			if err := stream.WriteFrame(forward.Frame{Data: buffer[:n]}); err != nil {
				return
			}
		}
		if err == io.EOF {
			_ = stream.WriteFrame(forward.Frame{End: true, Code: azuretiller.CodeOK, Trailers: c.request.Trailer})
			return
		}
		if err != nil {
			_ = stream.WriteFrame(forward.Frame{End: true, Code: azuretiller.CodeCancelled})
			return
		}
	}
}
