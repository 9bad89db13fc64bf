package gateway

import (
	"fmt"
	"strconv"
	"time"

	"github.com/apex/log"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/ending"
	"github.com/azuretiller/azuretiller/pkg/message"
)

// end logs the request, also if its handler panics, and passes the panic on.
func (c *call) end() {
	p := recover()
	if p != nil && c.ended == "" {
		c.ended = ending.Panicked
		c.reason = fmt.Sprintf("panic: %.200v", p)
	}
	c.noteGone()
	c.log()
	if p != nil {
		panic(p)
	}
}

// noteDisconnect records why the context of the request ended.
func (c *call) noteDisconnect() {
	c.code = azuretiller.CodeCancelled
	g := c.gateway
	c.ended, c.reason = ending.Of(c.request.Context(), g.life.Closed() || g.stopsBefore(g.common.Clock.Now()))
	if server := c.sentTo.Load(); server != nil && c.server == "" {
		c.server = *server
	}
}

// noteLostTurn records why the response of a request that was read ahead was not delivered.
func (c *call) noteLostTurn() {
	if w, ok := c.writer.(interface{ WriteErr() error }); ok && w.WriteErr() != nil {
		c.noteWriteError(w.WriteErr())
		return
	}
	c.noteDisconnect()
	if c.ended == ending.CallerLeft {
		c.ended = ending.TurnLost
	}
	c.reason = "read ahead, but its turn did not come: " + c.reason
}

// noteWriteError records that a response could not be written.
func (c *call) noteWriteError(err error) {
	c.code = azuretiller.CodeCancelled
	c.ended, c.reason = ending.WriteFailed, "write response: "+err.Error()
	if c.gateway.life.Closed() {
		c.ended = ending.VMStopped
	}
}

// noteRefusalError records that a refusal could not be written.
func (c *call) noteRefusalError(err error) { c.keepResult(func() { c.noteWriteError(err) }) }

// noteGone records that the connection ended before net/http has sent the response. A request that was read ahead is told so at its turn.
func (c *call) noteGone() {
	if _, early := c.writer.(earlyWriter); early || c.ended != "" || c.streamed || c.request.Context().Err() == nil {
		return
	}
	c.keepResult(c.noteDisconnect)
}

// keepResult adds why the caller got no response to the code and the reason of the result.
func (c *call) keepResult(note func()) {
	code, reason := c.code, c.reason
	note()
	if code != azuretiller.CodeOK {
		c.code = code
	}
	if reason != "" {
		c.reason = reason + "; " + c.reason
	}
}

// noteBrokenResponse records that a response ended before it was complete.
func (c *call) noteBrokenResponse(result message.Result) {
	c.ended = ending.BrokeOff
	switch {
	case result != message.Cancelled:
	case c.gateway.life.Closed():
		c.ended = ending.VMStopped
	case c.request.Context().Err() != nil:
		c.ended = ending.CallerLeft
	default:
		c.ended = ending.WriteFailed
	}
}

// untilStop returns the time from the reading of the request until the VM stops, as known when it was accepted, or 0 if it was not.
func (c *call) untilStop() time.Duration {
	if c.stopAt == nil {
		return 0
	}
	return c.stopAt.Sub(c.started)
}

// log writes the log line and records the metrics of the request, for a request that was read ahead when its turn has come.
func (c *call) log() {
	elapsed := c.gateway.common.Clock.Now().Sub(c.started)
	early, ok := c.writer.(earlyWriter)
	if !ok {
		c.logResult(elapsed, 0)
		return
	}
	early.AfterTurn(func(waited time.Duration, delivered bool) {
		if !delivered {
			c.noteLostTurn()
		}
		c.logResult(elapsed, waited)
	})
}

// logResult writes the log line of a request whose response was complete after the given time, and then waited for its turn.
func (c *call) logResult(elapsed, waited time.Duration) {
	g := c.gateway
	mode := "led"
	if c.withoutLeader {
		mode = "alone"
	}
	scope := g.common.Metrics.Tagged(map[string]string{"code": strconv.Itoa(int(c.code)), "mode": mode})
	scope.Counter("requests").Inc(1)
	scope.Timer("request_time").Record(elapsed)
	version := ""
	if c.state.Config != nil {
		version = c.state.Config.Version
	}
	if c.ended == "" {
		c.ended = ending.Answered
	} else {
		g.common.Metrics.Tagged(map[string]string{"reason": string(c.ended)}).Counter("requests_unanswered").Inc(1)
	}
	fields := log.Fields{
		"request":  c.loggedID,
		"code":     int(c.code),
		"status":   c.status,
		"route":    c.route.ID,
		"team":     c.team.ID,
		"service":  c.service,
		"server":   c.server,
		"attempts": c.attempts,
		"received": c.bytesReceived(),
		"took":     elapsed,
		"turn":     waited,
		"mode":     mode,
		"term":     c.state.Term,
		"version":  version,
		"up":       g.life.Up(c.started).Round(time.Millisecond),
		"limit":    c.timeout,
		"ended":    c.ended,
		"reason":   c.reason,
	}
	if g.life.Stopping(g.common.Clock.Now()) > 0 {
		fields["stopping"], fields["until"] = g.life.Stopping(c.started).Round(time.Millisecond), c.untilStop().Round(time.Millisecond)
	}
	if c.behind >= time.Millisecond {
		fields["behind"] = c.behind.Round(time.Millisecond)
	}
	g.common.Log.WithFields(fields).Info("request")
}
