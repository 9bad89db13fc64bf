package poolowner

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/crash"
	"github.com/azuretiller/azuretiller/pkg/dispatch"
	"github.com/azuretiller/azuretiller/pkg/forward"
	"github.com/azuretiller/azuretiller/pkg/headers"
	"github.com/azuretiller/azuretiller/pkg/pool"
	"github.com/azuretiller/azuretiller/pkg/replay"
	"github.com/azuretiller/azuretiller/pkg/wire"
)

const (
	// maxReplayBytes is the size of the largest request body that is buffered for a retry.
	maxReplayBytes = 64 << 10
	// maxErrorBytes is the size of the largest error response that is buffered until it is known whether the request is
	// retried. It also limits how much of the response to a recheck is read.
	maxErrorBytes = 64 << 10
)

// session is the state of one request while this VM processes it.
type session struct {
	manager     *Manager
	request     forward.Request
	stream      *wire.Stream
	cancel      context.CancelCauseFunc
	deadline    time.Time
	timer       *time.Timer
	fingerprint crash.Fingerprint

	body        *replay.Body
	trailers    http.Header
	runner      *runner
	ticket      pool.TicketID
	actions     chan pool.Action
	attempts    int
	queueTime   time.Duration
	serviceTime time.Duration
	// lastResponse and lastBody are the result of the last failed attempt. They are sent if the pool does not retry the
	// request.
	lastResponse forward.Response
	lastBody     []byte
	// mayHaveRun is set once an attempt may have executed the request. From then on, no result code may state that it
	// was not executed.
	mayHaveRun bool
}

func (s *session) run(ctx context.Context) {
	if s.manager.draining.Load() {
		s.refuse(azuretiller.CodePoolMoved, 0)
		return
	}
	s.runner = s.manager.runner(s.request.Pool)
	if s.runner == nil {
		s.refuse(azuretiller.CodeNoServer, time.Second)
		return
	}
	if ok, retryAfter := s.manager.admit(s.fingerprint); !ok {
		s.refuse(azuretiller.CodeHeldBack, retryAfter)
		return
	}
	defer s.manager.endTrial(s.fingerprint)
	s.receiveBody()
	s.submit()
	defer s.unregister()
	for {
		select {
		case action := <-s.actions:
			if s.handleAction(ctx, action) {
				return
			}
		case <-ctx.Done():
			s.abort()
			return
		}
	}
}

// receiveBody reads the request body in the background. After the end of the body it continues to read, so that it
// notices when the entry VM closes the stream. It then cancels the request.
func (s *session) receiveBody() {
	if declared := s.request.Headers["Trailer"]; len(declared) > 0 {
		s.trailers = http.Header{}
		for _, name := range declared {
			s.trailers[http.CanonicalHeaderKey(name)] = nil
		}
	}
	s.request.Headers.Del("Trailer")
	pipeReader, pipeWriter := io.Pipe()
	s.body = replay.New(pipeReader, maxReplayBytes, nil)
	go func() {
		defer s.cancel(context.Canceled)
		for {
			frame, err := s.stream.ReadFrame()
			if err != nil {
				_ = pipeWriter.CloseWithError(io.ErrUnexpectedEOF)
				return
			}
			if len(frame.Data) > 0 {
				if _, err := pipeWriter.Write(frame.Data); err != nil {
					return
				}
			}
			if frame.End {
				s.endBody(pipeWriter, frame)
			}
		}
	}()
}

func (s *session) endBody(pipeWriter *io.PipeWriter, frame forward.Frame) {
	if frame.Code != azuretiller.CodeOK {
		_ = pipeWriter.CloseWithError(io.ErrUnexpectedEOF)
		return
	}
	for name, values := range frame.Trailers {
		if _, ok := s.trailers[name]; ok {
			s.trailers[name] = values
		}
	}
	_ = pipeWriter.Close()
}

func (s *session) submit() {
	r := s.runner
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastTicketID++
	s.ticket = r.lastTicketID
	s.actions = make(chan pool.Action, 4)
	r.sessions[s.ticket] = s
	s.manager.execute(r, s.request.Pool, r.pool.Submit(s.manager.common.Clock.Now(), pool.Ticket{
		ID:         s.ticket,
		Team:       s.request.Team,
		Weight:     s.request.Weight,
		Route:      s.request.Route,
		Idempotent: s.request.Idempotent,
		ReadOnly:   s.readOnly(),
		Retries:    s.request.Retries,
		IsRetry:    s.request.MayHaveRun,
		Deadline:   s.deadline,
	}))
}

// readOnly reports whether the request only reads data and has no body, so that its headers are sufficient for a
// recheck.
func (s *session) readOnly() bool {
	readMethod := s.request.Method == http.MethodGet || s.request.Method == http.MethodHead
	return s.request.Idempotent && readMethod && s.request.Length == 0
}

// unregister removes the request from the runner. The goroutine that reads the body ends when the stream is closed.
func (s *session) unregister() {
	s.runner.mu.Lock()
	defer s.runner.mu.Unlock()
	delete(s.runner.sessions, s.ticket)
}

// abort ends a request that timed out, or whose caller disconnected, while it waited in the queue of the pool.
func (s *session) abort() {
	r := s.runner
	r.mu.Lock()
	select {
	case action := <-s.actions:
		// The pool started the request at the same time, but the request was not sent yet.
		if _, ok := action.(pool.Start); ok {
			s.manager.execute(r, s.request.Pool, r.pool.Finish(s.manager.common.Clock.Now(), s.ticket, pool.Result{Kind: pool.Cancelled}))
		}
	default:
		s.manager.execute(r, s.request.Pool, r.pool.Cancel(s.manager.common.Clock.Now(), s.ticket))
	}
	r.mu.Unlock()
	if s.attempts > 0 {
		s.sendLastResponse()
		return
	}
	s.refuse(azuretiller.CodeQueueTimeout, time.Second)
}

// handleAction performs one action and reports whether the request has ended.
func (s *session) handleAction(ctx context.Context, action pool.Action) bool {
	switch a := action.(type) {
	case pool.Start:
		s.queueTime += a.QueueTime
		return s.attempt(ctx, a.Server)
	case pool.Refuse:
		s.refuse(a.Code, a.RetryAfter)
		return true
	case pool.Deliver:
		s.sendLastResponse()
		return true
	default:
		return false
	}
}

// attempt sends the request to a server and reports whether the response was forwarded.
func (s *session) attempt(ctx context.Context, server azuretiller.ServerID) bool {
	s.attempts++
	attempt := s.manager.sender.Send(ctx, server, s.request, s.body.NewReader(), s.trailers, s.deadline.Sub(s.manager.common.Clock.Now()))
	s.serviceTime += attempt.Latency
	if attempt.Kind == pool.Succeeded && attempt.Response != nil {
		s.timer.Stop()
		s.manager.clearCrashes(s.fingerprint)
		s.forward(server, attempt)
		return true
	}
	s.mayHaveRun = s.mayHaveRun || !attempt.Kind.NotRun()
	s.retainFailure(server, attempt)
	if attempt.Crashed {
		s.reportCrash(server)
	}
	replayable := s.body.Replayable() && !s.manager.isHeld(s.fingerprint)
	s.finish(pool.Result{Kind: attempt.Kind, Latency: attempt.Latency, Replayable: replayable})
	return false
}

func (s *session) reportCrash(server azuretiller.ServerID) {
	s.manager.RecordCrash(s.fingerprint, server)
	s.manager.peers.ReportCrash(s.request.Pool.Service, s.fingerprint, server)
}

func (s *session) finish(result pool.Result) {
	r := s.runner
	r.mu.Lock()
	defer r.mu.Unlock()
	s.manager.execute(r, s.request.Pool, r.pool.Finish(s.manager.common.Clock.Now(), s.ticket, result))
}

// retainFailure stores the result of a failed attempt, so that it can be sent if no other attempt follows.
func (s *session) retainFailure(server azuretiller.ServerID, attempt dispatch.AttemptResult) {
	s.lastBody = nil
	s.lastResponse = forward.Response{Code: codeForKind(attempt.Kind), Detail: attempt.Reason, Server: server}
	if attempt.Response == nil {
		return
	}
	defer func() { _ = attempt.Response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(attempt.Response.Body, maxErrorBytes+1))
	if err != nil || len(data) > maxErrorBytes {
		s.lastResponse.Code = azuretiller.CodeTruncated
		return
	}
	s.lastResponse = s.responseHead(server, attempt.Response)
	s.lastResponse.Length = int64(len(data))
	s.lastBody = data
}

func codeForKind(kind pool.ResultKind) azuretiller.Code {
	switch kind {
	case pool.Shed:
		return azuretiller.CodeShedByServer
	case pool.Unreachable:
		return azuretiller.CodeConnectFailed
	case pool.TimedOut:
		return azuretiller.CodeServerTimeout
	case pool.Cancelled:
		return azuretiller.CodeCancelled
	default:
		return azuretiller.CodeServerFailed
	}
}

func (s *session) responseHead(server azuretiller.ServerID, response *http.Response) forward.Response {
	h := response.Header.Clone()
	headers.StripHopByHop(h)
	headers.StripFleetHeaders(h)
	return forward.Response{
		Code:    azuretiller.CodeOK,
		Status:  response.StatusCode,
		Headers: h,
		Length:  response.ContentLength,
		Server:  server,
	}
}

// forward streams a successful response to the entry VM. The request occupies a slot of the server until the body has
// ended.
func (s *session) forward(server azuretiller.ServerID, attempt dispatch.AttemptResult) {
	response := attempt.Response
	defer func() { _ = response.Body.Close() }()
	result := pool.Result{Kind: pool.Succeeded, Latency: attempt.Latency}
	head := s.withMetadata(s.responseHead(server, response))
	err := s.stream.WriteResponse(head)
	if err == nil {
		result.Kind, err = s.copyBody(response)
	}
	if err != nil && result.Kind == pool.Succeeded {
		result.Kind = pool.Cancelled
	}
	s.finish(result)
}

// copyBody sends the body in frames. The last frame states whether the body is complete.
func (s *session) copyBody(response *http.Response) (pool.ResultKind, error) {
	buffer := wire.FrameBuffer(response.ContentLength)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			if err := s.stream.WriteFrame(forward.Frame{Data: buffer[:n]}); err != nil {
				return pool.Cancelled, err
			}
		}
		if err == io.EOF {
			return pool.Succeeded, s.stream.WriteFrame(forward.Frame{
				End:      true,
				Code:     azuretiller.CodeOK,
				Trailers: response.Trailer,
			})
		}
		if err != nil {
			return pool.ConnectionBroken, s.stream.WriteFrame(forward.Frame{End: true, Code: azuretiller.CodeTruncated})
		}
	}
}

func (s *session) withMetadata(r forward.Response) forward.Response {
	r.Attempts = s.attempts
	r.QueueTime = s.queueTime
	r.ServiceTime = s.serviceTime
	s.runner.mu.Lock()
	r.Load = s.runner.pool.Load()
	s.runner.mu.Unlock()
	return r
}

func (s *session) sendLastResponse() {
	s.lastResponse.Code = s.correctedCode(s.lastResponse.Code)
	if err := s.stream.WriteResponse(s.withMetadata(s.lastResponse)); err != nil {
		return
	}
	if s.lastResponse.Code != azuretiller.CodeOK {
		return
	}
	_ = s.stream.WriteFrame(forward.Frame{Data: s.lastBody})
	_ = s.stream.WriteFrame(forward.Frame{End: true, Code: azuretiller.CodeOK})
}

// correctedCode replaces a code which states that the request was not executed, if an earlier attempt may have executed
// it.
func (s *session) correctedCode(code azuretiller.Code) azuretiller.Code {
	if s.mayHaveRun && code.Outcome() == azuretiller.NotRun {
		return azuretiller.CodeServerFailed
	}
	return code
}

func (s *session) refuse(code azuretiller.Code, retryAfter time.Duration) {
	r := forward.Response{Code: s.correctedCode(code), RetryAfter: retryAfter, Attempts: s.attempts, QueueTime: s.queueTime}
	if s.runner != nil {
		r = s.withMetadata(r)
		r.RetryAfter = retryAfter
	}
	_ = s.stream.WriteResponse(r)
}
