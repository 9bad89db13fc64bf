package entry

import (
	"context"
	"crypto/sha256"
	"io"
	"net/http"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/exchange"
	"github.com/azuretiller/azuretiller/pkg/headers"
	"github.com/azuretiller/azuretiller/pkg/once"
	"github.com/azuretiller/azuretiller/pkg/replay"
	"github.com/azuretiller/azuretiller/pkg/topology"
	"github.com/azuretiller/azuretiller/pkg/wire"
)

const (
	// replayBytes is the largest body that can be offered to another pool after one has read it.
	replayBytes = 64 << 10
	// mostPools is how many pools a request is offered to.
	mostPools = 3
	// moveChecks times moveGap is how long a request waits to learn of the new home of a pool.
	moveChecks = 50
	moveGap    = 20 * time.Millisecond
	// grace is the time beyond a request's limit after which the home of a pool is given up.
	grace = 2 * time.Second
)

// serve runs an authorized request.
func (c *call) serve(ctx context.Context) {
	c.limitBody()
	body := replay.New(c.request.Body, replayBytes)
	idempotent := c.route.IsIdempotent(c.request.Method)
	c.id = azuretiller.RequestID(c.request.Header.Get(headers.Idempotency))
	fingerprint := c.fingerprint(body)
	if idempotent || c.id == "" {
		c.forward(ctx, body, c.head(fingerprint, idempotent))
		return
	}
	c.serveOnce(ctx, body, c.head(fingerprint, false))
}

// limitBody ends the reading of bodies that are longer than allowed or that come too slowly.
func (c *call) limitBody() {
	c.request.Body = http.MaxBytesReader(c.writer, c.request.Body, c.route.Body)
	_ = http.NewResponseController(c.writer).EnableFullDuplex()
	c.request.Body = &patientBody{
		ReadCloser: c.request.Body,
		controller: http.NewResponseController(c.writer),
	}
}

// patientBody gives the caller a while for each part of the body.
type patientBody struct {
	io.ReadCloser
	controller *http.ResponseController
}

// Read reads a part of the body.
func (b *patientBody) Read(p []byte) (int, error) {
	_ = b.controller.SetReadDeadline(time.Now().Add(stall))
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		_ = b.controller.SetReadDeadline(time.Time{})
	}
	return n, err
}

// fingerprint identifies equal requests; of a long body only the beginning counts.
func (c *call) fingerprint(body *replay.Body) []byte {
	hash := sha256.New()
	for _, part := range []string{string(c.team.ID), string(c.route.ID), c.request.Method, c.request.URL.RequestURI()} {
		_, _ = io.WriteString(hash, part)
		_, _ = hash.Write([]byte{0})
	}
	if c.request.ContentLength != 0 {
		_, _ = io.CopyN(hash, body.Reader(), replayBytes/2)
	}
	return hash.Sum(nil)
}

func (c *call) head(fingerprint []byte, idempotent bool) exchange.Request {
	h := c.request.Header.Clone()
	trailer := declaredTrailers(c.request)
	headers.StripHopByHop(h)
	headers.StripKey(h, c.key)
	headers.StripOwn(h)
	if len(trailer) > 0 {
		h["Trailer"] = trailer
	}
	return exchange.Request{
		Trace:       c.trace,
		Team:        c.team.ID,
		Weight:      c.team.Weight,
		Route:       c.route.ID,
		Method:      c.request.Method,
		Target:      headers.HideKey(c.request.URL, c.key),
		Host:        c.request.Host,
		Headers:     h,
		Length:      c.request.ContentLength,
		Idempotent:  idempotent,
		Retries:     c.route.Retries,
		Fingerprint: fingerprint,
		Replayable:  c.id != "",
	}
}

func declaredTrailers(r *http.Request) []string {
	var names []string
	for name := range r.Trailer {
		names = append(names, name)
	}
	return names
}

// forward offers the request to pools until one answers it, and returns what was given to the caller.
func (c *call) forward(ctx context.Context, body *replay.Body, head exchange.Request) once.Answer {
	deadline := c.started.Add(c.route.Limit(c.request.Header.Get(headers.Timeout)))
	refusal := exchange.Response{Code: azuretiller.CodeNoServer, RetryAfter: time.Second}
	pools := c.handler.picker.Order(c.snapshot.Topology[c.route.Service])
	for _, p := range pools[:min(len(pools), mostPools)] {
		head.Pool = p.ID
		head.Timeout = deadline.Sub(c.handler.common.Clock.Now())
		if head.Timeout <= 0 || ctx.Err() != nil {
			break
		}
		answer, response := c.follow(ctx, body, head, p)
		if response.Code == azuretiller.CodeOK {
			return answer
		}
		ran := refusal.Code.Outcome() != azuretiller.NotRun
		if !ran || response.Code.Outcome() != azuretiller.NotRun {
			refusal = response
		}
		c.handler.picker.Refused(p.ID)
		if !body.Replayable() || refusal.Code.Outcome() != azuretiller.NotRun && !head.Idempotent {
			break
		}
		head.Attempted = head.Attempted || refusal.Code.Outcome() != azuretiller.NotRun
	}
	c.refuse(refusal.Code, refusal.RetryAfter, refusal.Detail)
	return once.Answer{Code: refusal.Code, Kept: true}
}

// follow offers the request to one pool, and again when the pool has moved to a home that this VM comes to know of.
func (c *call) follow(ctx context.Context, body *replay.Body, head exchange.Request, p topology.Pool) (once.Answer, exchange.Response) {
	deadline := c.handler.common.Clock.Now().Add(head.Timeout)
	answer, response := c.try(ctx, body, head, p)
	for response.Code == azuretiller.CodePoolMoved && body.Replayable() {
		next, ok := c.nextHome(ctx, p)
		head.Timeout = deadline.Sub(c.handler.common.Clock.Now())
		if !ok || head.Timeout <= 0 {
			break
		}
		p = next
		answer, response = c.try(ctx, body, head, p)
	}
	return answer, response
}

// nextHome waits until this VM knows another home of a pool, or for a short while.
func (c *call) nextHome(ctx context.Context, p topology.Pool) (topology.Pool, bool) {
	for range moveChecks {
		if next, ok := c.handler.current().Topology.Find(p.ID); ok && next.Home.ID != p.Home.ID {
			return next, true
		}
		select {
		case <-ctx.Done():
			return p, false
		case <-time.After(moveGap):
		}
	}
	return p, false
}

// try offers the request to one pool and, when there is an answer, passes it on to the caller.
func (c *call) try(ctx context.Context, body *replay.Body, head exchange.Request, p topology.Pool) (once.Answer, exchange.Response) {
	c.pool = p.ID
	stream, err := c.handler.opener.Open(ctx, p.Home)
	if err != nil {
		return once.Answer{}, exchange.Response{Code: azuretiller.CodeHomeUnreachable, RetryAfter: time.Second}
	}
	defer func() { _ = stream.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	_ = stream.SetDeadline(time.Now().Add(head.Timeout + grace))
	if err := stream.WriteRequest(head); err != nil {
		return once.Answer{}, lost(ctx)
	}
	go c.sendBody(stream, body)
	response, err := stream.ReadResponse()
	if err != nil {
		return once.Answer{}, lost(ctx)
	}
	_ = stream.SetDeadline(time.Time{})
	c.note(p, response)
	if response.Code != azuretiller.CodeOK {
		return once.Answer{}, response
	}
	kept, small := c.pass(response, stream)
	return once.Answer{Code: response.Code, Status: response.Status, Headers: response.Headers, Body: kept, Kept: small}, response
}

// lost is the outcome of a request that may have reached the home of a pool.
func lost(ctx context.Context) exchange.Response {
	if ctx.Err() != nil {
		return exchange.Response{Code: azuretiller.CodeCancelled}
	}
	return exchange.Response{Code: azuretiller.CodeHomeLost}
}

func (c *call) note(p topology.Pool, r exchange.Response) {
	c.handler.picker.Heard(p.ID, r.Load)
	c.server = r.Server
	c.attempts += r.Attempts
	c.service += r.Service
	c.queued += r.Queue
}

// sendBody sends the request's body in frames; the last one says whether the body is whole.
func (c *call) sendBody(stream *wire.Stream, body *replay.Body) {
	if c.request.ContentLength == 0 {
		_ = stream.WriteFrame(exchange.Frame{End: true, Code: azuretiller.CodeOK})
		return
	}
	reader := body.Reader()
	buffer := wire.FrameBuffer(c.request.ContentLength)
	for {
		n, err := reader.Read(buffer)
		if n > 0 {
			if err := stream.WriteFrame(exchange.Frame{Data: buffer[:n]}); err != nil {
				return
			}
		}
		if err == io.EOF {
			_ = stream.WriteFrame(exchange.Frame{End: true, Code: azuretiller.CodeOK, Trailers: c.request.Trailer})
			return
		}
		if err != nil {
			_ = stream.WriteFrame(exchange.Frame{End: true, Code: azuretiller.CodeCancelled})
			return
		}
	}
}
