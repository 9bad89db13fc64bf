package ingress

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/ending"
	"github.com/azuretiller/azuretiller/pkg/forward"
	"github.com/azuretiller/azuretiller/pkg/headers"
	"github.com/azuretiller/azuretiller/pkg/idempotency"
	"github.com/azuretiller/azuretiller/pkg/wire"
)

// ioTimeout limits each read of a request body from the caller and each write of a response body to it.
const ioTimeout = 30 * time.Second

// refuse sends a JSON response with a result code; a positive retryAfter is sent as the Retry-After header.
func (c *call) refuse(code azuretiller.Code, retryAfter time.Duration, detail string) {
	info, ok := azuretiller.LookupCode(code)
	if !ok {
		info, _ = azuretiller.LookupCode(azuretiller.CodeServerFailed)
	}
	c.code = info.Code
	c.status = info.Status
	h := c.writer.Header()
	c.setResultHeaders(h)
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	h.Set("Content-Type", "application/json")
	body := refusalBody{Code: int(info.Code), Name: info.Name, Outcome: info.Outcome.String(), Meaning: info.Meaning, Detail: detail, Request: c.traceID}
	data, err := json.Marshal(body)
	if err != nil {
		data = []byte("{}")
	}
	h.Set("Content-Length", strconv.Itoa(len(data)))
	c.writer.WriteHeader(info.Status)
	if _, err := c.writer.Write(data); err != nil {
		c.noteWriteError(err)
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// refusalBody is the JSON body that refuse sends.
type refusalBody struct {
	Code    int    `json:"code"`
	Name    string `json:"name"`
	Outcome string `json:"outcome"`
	Meaning string `json:"meaning"`
	Detail  string `json:"detail,omitempty"`
	Request string `json:"request"`
}

func (c *call) setResultHeaders(h http.Header) {
	h.Set(headers.Code, strconv.Itoa(int(c.code)))
	h.Set(headers.Outcome, c.code.Outcome().String())
	h.Set(headers.Trace, c.traceID)
}

func (c *call) writeHead(r forward.Response) {
	c.code = r.Code
	c.status = r.Status
	h := c.writer.Header()
	for name, values := range r.Headers {
		h[name] = values
	}
	c.setResultHeaders(h)
	h.Set("Server-Timing", fmt.Sprintf("server;dur=%.3f, queue;dur=%.3f", milliseconds(c.serviceTime), milliseconds(c.queueTime)))
	if r.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(r.Length, 10))
	}
	c.writer.WriteHeader(r.Status)
}

// streamBody copies the response body to the caller as it arrives and returns it if it is small enough to be stored for
// a replay. If the body is truncated, the connection is aborted, so that the caller cannot mistake it for a complete one.
func (c *call) streamBody(r forward.Response, stream *wire.Stream) (kept []byte, storable bool) {
	c.writeHead(r)
	controller := http.NewResponseController(c.writer)
	storable = true
	for {
		frame, err := stream.ReadFrame()
		if err != nil || frame.End && frame.Code != azuretiller.CodeOK {
			c.code = azuretiller.CodeTruncated
			c.noteTruncated(err)
			panic(http.ErrAbortHandler)
		}
		if len(frame.Data) > 0 {
			_ = controller.SetWriteDeadline(time.Now().Add(ioTimeout))
			if _, err := c.writer.Write(frame.Data); err != nil {
				c.code = azuretiller.CodeCancelled
				c.noteWriteError(err)
				panic(http.ErrAbortHandler)
			}
			if storable = storable && len(kept)+len(frame.Data) <= idempotency.MaxBodyBytes; storable {
				kept = append(kept, frame.Data...)
			}
			if r.Length < 0 {
				_ = controller.Flush()
			}
		}
		if frame.End {
			for name, values := range frame.Trailers {
				c.writer.Header()[http.TrailerPrefix+name] = values
			}
			c.streamed = true
			return kept, storable
		}
	}
}

// noteTruncated records why a response broke off; err is nil if the owner of the pool said so.
func (c *call) noteTruncated(err error) {
	switch ctx := c.request.Context(); {
	case ctx.Err() != nil:
		c.ended, c.reason = ending.Of(ctx, c.handler.life.Closed())
	case err != nil:
		c.ended, c.reason = ending.BrokeOff, "connection to the owner of the pool: "+err.Error()
	default:
		c.ended, c.reason = ending.BrokeOff, "response of the server broke off"
	}
}

// replayResponse sends the stored response to an earlier request with the same request ID.
func (c *call) replayResponse(stored idempotency.Response) {
	if !stored.Replayable {
		c.refuse(azuretiller.CodeAnswerNotKept, 0, "")
		return
	}
	if stored.Code != azuretiller.CodeOK {
		c.refuse(stored.Code, 0, "")
		return
	}
	c.writeHead(forward.Response{
		Code:    azuretiller.CodeReplayed,
		Status:  stored.Status,
		Headers: stored.Headers,
		Length:  int64(len(stored.Body)),
	})
	if _, err := c.writer.Write(stored.Body); err != nil {
		c.noteWriteError(err)
	}
}
