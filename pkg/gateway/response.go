package gateway

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/connlimit"
	"github.com/azuretiller/azuretiller/pkg/headers"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/pkg/retryafter"
	"github.com/azuretiller/azuretiller/platform"
)

// deliver sends a successful response to the caller and reports the result to the leader.
func (c *call) deliver(a attempt) {
	c.code = azuretiller.CodeOK
	connlimit.MarkServed(c.request.Context())
	if a.response.RemainingBody == nil {
		// The server has finished, while the caller may still read for long.
		c.reportResult(a)
		c.forward(a)
		return
	}
	started := c.gateway.common.Clock.Now()
	if result := c.forward(a); result != message.Succeeded {
		a.elapsed += c.gateway.common.Clock.Now().Sub(started)
		c.abortResponse(a, result)
	}
	c.reportResult(a)
}

// abortResponse ends the connection to the caller in the middle of a response, so that the caller notices that it is truncated, and reports the
// result to the leader.
func (c *call) abortResponse(a attempt, result message.Result) {
	c.code = azuretiller.CodeTruncated
	c.noteBrokenResponse(result)
	a.response.Result = result
	if a.placement.Ticket == 0 && result != message.Cancelled {
		c.gateway.placer.Eject(c.gateway.common.Clock.Now(), a.placement.Server)
	}
	c.reportResult(a)
	panic(http.ErrAbortHandler)
}

// forward writes the response of a backend server to the caller, without the hop-by-hop headers. It returns Succeeded, or the result of the
// attempt if the response broke off.
func (c *call) forward(a attempt) message.Result {
	c.status = a.response.Status
	c.server = a.placement.Server
	c.service = a.placement.Service
	h := c.writer.Header()
	for name, values := range a.response.Headers {
		h[name] = values
	}
	headers.StripHopByHop(h)
	if _, ok := h["Content-Type"]; !ok {
		// A nil value keeps net/http from guessing a content type that the server did not set.
		h["Content-Type"] = nil
	}
	switch {
	case a.response.RemainingBody == nil && c.request.Method != http.MethodHead:
		h.Set("Content-Length", strconv.Itoa(len(a.response.Body)))
	case a.response.ContentLength > 0:
		h.Set("Content-Length", strconv.FormatInt(a.response.ContentLength, 10))
	}
	c.closeIfUnusable()
	// A caller that does not read must not keep a body in memory, or its connection for good.
	writeDeadline := c.started.Add(c.timeout)
	if a.response.RemainingBody == nil {
		writeDeadline = writeDeadline.Add(unreadResponseTimeout)
	}
	_ = http.NewResponseController(c.writer).SetWriteDeadline(writeDeadline)
	c.writer.WriteHeader(a.response.Status)
	_, err := c.writer.Write(a.response.Body)
	if a.response.RemainingBody == nil {
		if err != nil {
			c.noteWriteError(err)
		}
		return message.Succeeded
	}
	defer func() { _ = a.response.RemainingBody.Close() }()
	s := bodyStream{clock: c.gateway.common.Clock, caller: c.writer, server: a.response.RemainingBody}
	if err := s.copy(c.request.Context(), c.started.Add(c.timeout)); err != nil {
		c.reason = "response body interrupted: " + err.Error()
		return s.result
	}
	c.streamed = true
	return message.Succeeded
}

// closeIfUnusable closes the caller's connection after the response if this VM is leaving, so that the caller uses another VM for its
// next request, or if a part of the request body is left on the connection and keepConnection is not set.
func (c *call) closeIfUnusable() {
	if c.gateway.current().Leaving || c.body != nil && !c.body.keepConnection && !c.body.data.Ended() {
		c.writer.Header().Set("Connection", "close")
	}
}

// refuse responds with a result code instead of the response of a backend server; retryAfter is sent if the status
// of the code promises that the request was not run, and is spread by the id of the request unless backend servers asked for a pause.
func (c *call) refuse(code azuretiller.Code, retryAfter time.Duration) {
	info, _ := azuretiller.LookupCode(code)
	c.code = code
	c.status = info.Status
	h := c.writer.Header()
	if platform.PromisesNotRun(info.Status) {
		if !c.pauseEnds && c.state.SpreadRetryAfter {
			// A caller that sends no id is told apart by its address.
			retryAfter = retryafter.Spread(retryAfter, cmp.Or(c.id, c.request.RemoteAddr))
		}
		h.Set("Retry-After", formatRetryAfter(retryAfter))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if c.id != "" {
		h.Set(platform.HeaderAttempt, c.id)
	}
	h.Set("Content-Length", strconv.Itoa(len(info.Name)+1))
	if c.body != nil {
		c.body.keepConnection = c.body.isRestSmall()
	}
	c.closeIfUnusable()
	_ = http.NewResponseController(c.writer).SetWriteDeadline(c.gateway.common.Clock.Now().Add(refusalTimeout))
	c.writer.WriteHeader(info.Status)
	if _, err := io.WriteString(c.writer, info.Name+"\n"); err != nil {
		c.noteRefusalError(err)
	}
}

// fail responds to the caller after all attempts failed; a is the failure to report.
func (c *call) fail(ctx context.Context, a attempt) {
	if a.response.Err != nil {
		c.reason = a.response.Err.Error()
	}
	if a.cut || a.placement.Server == "" && ctx.Err() != nil {
		c.abort(nil)
		return
	}
	if a.placement.Server == "" {
		if a.placement.Code == azuretiller.CodeOK {
			// A response that names no server is no success, although it has the code of one.
			a.placement.Code, a.placement.RetryAfter = azuretiller.CodeNoServer, defaultRetryAfter
		}
		c.service = a.placement.Service
		c.refuse(a.placement.Code, c.retryAfter(ctx, a.placement.Service, a.placement.RetryAfter))
		return
	}
	c.server = a.placement.Server
	c.service = a.placement.Service
	switch {
	case a.response.Result == message.Withheld:
		c.refuse(azuretiller.CodeServersPaused, c.retryAfter(ctx, a.placement.Service, defaultRetryAfter))
	case a.response.Result.NotRun():
		c.refuse(azuretiller.CodeShedByServer, c.retryAfter(ctx, a.placement.Service, defaultRetryAfter))
	case a.response.Status >= http.StatusInternalServerError && a.response.Signed() && !platform.PromisesNotRun(a.response.Status):
		c.code = azuretiller.CodeServerFailed
		if result := c.forward(a); result != message.Succeeded {
			c.noteBrokenResponse(result)
			// The result of the attempt has been reported as a failure.
			panic(http.ErrAbortHandler)
		}
	case a.response.Result == message.TimedOut:
		c.refuse(azuretiller.CodeServerTimeout, 0)
	case c.body != nil && c.body.isTooLarge():
		c.refuse(azuretiller.CodeBodyTooLong, 0)
	case a.response.Result == message.Cancelled:
		c.refuse(azuretiller.CodeBodyInterrupted, 0)
	default:
		c.refuse(azuretiller.CodeServerFailed, 0)
	}
}

// retryAfter returns the Retry-After time of a request that no server ran: if all servers of the service pause, the time until the first
// pause ends, at most until the deadline of the request, and otherwise the given time.
func (c *call) retryAfter(ctx context.Context, service azuretiller.ServiceID, otherwise time.Duration) time.Duration {
	now := c.gateway.common.Clock.Now()
	blocked, firstEnd := c.gateway.gate.Blocked(now, service)
	if firstEnd == 0 || !c.allPaused && !containsOpenServers(blocked, service, c.gateway.current().Servers) {
		return otherwise
	}
	if c.reason != "" {
		c.reason += "; "
	}
	c.pauseEnds = true
	c.reason += "all servers pause, the first for " + firstEnd.String()
	deadline, _ := ctx.Deadline()
	return min(firstEnd, deadline.Sub(now))
}

// containsOpenServers reports whether a list contains every server of a service that is not closed, and at least one of them.
func containsOpenServers(ids []azuretiller.InstanceID, service azuretiller.ServiceID, servers []message.Server) bool {
	found := false
	for _, s := range servers {
		if s.Service != service || s.Closed {
			continue
		}
		if !slices.Contains(ids, s.ID) {
			return false
		}
		found = true
	}
	return found
}

// abort ends a request whose deadline passed or whose caller disconnected.
func (c *call) abort(failed *attempt) {
	if failed != nil && failed.response.Err != nil {
		c.reason = failed.response.Err.Error()
	}
	if c.isBodyOverdue() {
		c.refuse(azuretiller.CodeBodyInterrupted, 0)
		return
	}
	if c.request.Context().Err() != nil {
		c.noteDisconnect()
		// Without a response, net/http would send an empty one with status 200 to a caller that closed only its sending side.
		panic(http.ErrAbortHandler)
	}
	c.refuse(azuretiller.CodeServerTimeout, 0)
}
