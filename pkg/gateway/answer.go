package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/headers"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/platform"
)

// deliver gives the answer of a backend server to the caller.
func (c *call) deliver(a attempt) {
	c.code = azuretiller.CodeOK
	c.pass(a)
	c.settle(a)
}

// pass writes a backend server's answer unchanged.
func (c *call) pass(a attempt) {
	c.status = a.answer.Status
	c.server = a.grant.Server
	c.service = a.grant.Service
	h := c.writer.Header()
	for name, values := range a.answer.Headers {
		h[name] = values
	}
	headers.StripHopByHop(h)
	if _, ok := h["Content-Type"]; !ok {
		// Keeps the library from guessing a type that the server did not give.
		h["Content-Type"] = nil
	}
	switch {
	case a.answer.Rest == nil && c.request.Method != http.MethodHead:
		h.Set("Content-Length", strconv.Itoa(len(a.answer.Body)))
	case a.answer.Length > 0:
		h.Set("Content-Length", strconv.FormatInt(a.answer.Length, 10))
	}
	c.closeIfLeaving()
	c.writer.WriteHeader(a.answer.Status)
	_, _ = c.writer.Write(a.answer.Body)
	if a.answer.Rest == nil {
		return
	}
	defer func() { _ = a.answer.Rest.Close() }()
	if _, err := io.CopyBuffer(c.writer, a.answer.Rest, make([]byte, copyBuffer)); err != nil {
		c.reason = "answer broke off: " + err.Error()
		c.code = azuretiller.CodeTruncated
		// The caller must see that the answer is not whole.
		panic(http.ErrAbortHandler)
	}
}

// closeIfLeaving asks the caller to use another VM for its next request.
func (c *call) closeIfLeaving() {
	if c.gateway.current().Leaving {
		c.writer.Header().Set("Connection", "close")
	}
}

// refuse answers with a result code of the fleet.
func (c *call) refuse(code azuretiller.Code, wait time.Duration) {
	info, _ := azuretiller.Describe(code)
	c.code = code
	c.status = info.Status
	h := c.writer.Header()
	if platform.PromisesNotRun(info.Status) {
		h.Set("Retry-After", retryAfter(wait))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if c.id != "" {
		h.Set(platform.HeaderAttempt, c.id)
	}
	c.closeIfLeaving()
	c.writer.WriteHeader(info.Status)
	_, _ = io.WriteString(c.writer, info.Name+"\n")
}

// fail answers after the last attempt failed.
func (c *call) fail(ctx context.Context, a attempt) {
	if a.answer.Err != nil {
		c.reason = a.answer.Err.Error()
	}
	if a.grant.Server == "" {
		if ctx.Err() != nil {
			c.expire(nil)
			return
		}
		c.refuse(a.grant.Code, a.grant.RetryAfter)
		return
	}
	c.server = a.grant.Server
	c.service = a.grant.Service
	switch {
	case a.answer.Result.NotRun():
		c.refuse(azuretiller.CodeShedByServer, notReadyRetry)
	case a.answer.Status >= http.StatusInternalServerError && a.answer.Signed() && !platform.PromisesNotRun(a.answer.Status):
		c.code = azuretiller.CodeServerFailed
		c.pass(a)
	case a.answer.Result == message.TimedOut:
		c.refuse(azuretiller.CodeServerTimeout, 0)
	default:
		c.refuse(azuretiller.CodeServerFailed, 0)
	}
}

// expire ends a request whose time is over or whose caller left.
func (c *call) expire(failed *attempt) {
	if c.request.Context().Err() != nil {
		c.code = azuretiller.CodeCancelled
		c.reason = "the caller left"
		return
	}
	if failed != nil && failed.answer.Err != nil {
		c.reason = failed.answer.Err.Error()
	}
	c.refuse(azuretiller.CodeServerTimeout, 0)
}
