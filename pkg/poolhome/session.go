package poolhome

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/crash"
	"github.com/azuretiller/azuretiller/pkg/dispatch"
	"github.com/azuretiller/azuretiller/pkg/exchange"
	"github.com/azuretiller/azuretiller/pkg/headers"
	"github.com/azuretiller/azuretiller/pkg/pool"
	"github.com/azuretiller/azuretiller/pkg/replay"
	"github.com/azuretiller/azuretiller/pkg/wire"
)

const (
	// replayBytes is the largest body that is kept for a retry.
	replayBytes = 64 << 10
	// errorBytes is the largest server error that is kept until it is known whether the request is retried.
	errorBytes = 64 << 10
)

// session is one request on its way through a pool.
type session struct {
	home        *Home
	request     exchange.Request
	stream      *wire.Stream
	cancel      context.CancelCauseFunc
	deadline    time.Time
	timer       *time.Timer
	fingerprint crash.Fingerprint

	body     *replay.Body
	trailers http.Header
	runner   *runner
	ticket   pool.TicketID
	actions  chan pool.Action
	attempts int
	queued   time.Duration
	service  time.Duration
	// last is the outcome of the last attempt, to be delivered when the pool says so.
	last    exchange.Response
	payload []byte
	// mayHaveRun is set once an attempt could have executed the request, after which no code may say that it did not run.
	mayHaveRun bool
}

func (s *session) run(ctx context.Context) {
	s.runner = s.home.runner(s.request.Pool)
	if s.runner == nil {
		s.refuse(azuretiller.CodeNoServer, time.Second)
		return
	}
	if ok, wait := s.home.admit(s.fingerprint); !ok {
		s.refuse(azuretiller.CodeHeldBack, wait)
		return
	}
	defer s.home.released(s.fingerprint)
	s.receive()
	s.offer()
	defer s.withdraw()
	for {
		select {
		case action := <-s.actions:
			if s.handle(ctx, action) {
				return
			}
		case <-ctx.Done():
			s.abandon()
			return
		}
	}
}

// receive reads the request's body in the background. Once the body has ended, the next read ends when the entry VM
// closes the stream, which cancels the request.
func (s *session) receive() {
	if declared := s.request.Headers["Trailer"]; len(declared) > 0 {
		s.trailers = http.Header{}
		for _, name := range declared {
			s.trailers[http.CanonicalHeaderKey(name)] = nil
		}
	}
	s.request.Headers.Del("Trailer")
	read, write := io.Pipe()
	s.body = replay.New(read, replayBytes)
	go func() {
		defer s.cancel(context.Canceled)
		for {
			frame, err := s.stream.ReadFrame()
			if err != nil {
				_ = write.CloseWithError(io.ErrUnexpectedEOF)
				return
			}
			if len(frame.Data) > 0 {
				if _, err := write.Write(frame.Data); err != nil {
					return
				}
			}
			if frame.End {
				s.endBody(write, frame)
			}
		}
	}()
}

func (s *session) endBody(write *io.PipeWriter, frame exchange.Frame) {
	if frame.Code != azuretiller.CodeOK {
		_ = write.CloseWithError(io.ErrUnexpectedEOF)
		return
	}
	for name, values := range frame.Trailers {
		if _, ok := s.trailers[name]; ok {
			s.trailers[name] = values
		}
	}
	_ = write.Close()
}

func (s *session) offer() {
	r := s.runner
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nextID++
	s.ticket = r.nextID
	s.actions = make(chan pool.Action, 4)
	r.sessions[s.ticket] = s
	s.home.act(r, s.request.Pool, r.pool.Offer(s.home.common.Clock.Now(), pool.Ticket{
		ID:         s.ticket,
		Team:       s.request.Team,
		Weight:     s.request.Weight,
		Route:      s.request.Route,
		Idempotent: s.request.Idempotent,
		ReadOnly:   s.readOnly(),
		Retries:    s.request.Retries,
		Retry:      s.request.Attempted,
		Deadline:   s.deadline,
	}))
}

// readOnly reports whether the request changes nothing and has no body, so that its head is all that a recheck needs.
func (s *session) readOnly() bool {
	read := s.request.Method == http.MethodGet || s.request.Method == http.MethodHead
	return s.request.Idempotent && read && s.request.Length == 0
}

// withdraw drops the ticket; the body's reader ends with the stream.
func (s *session) withdraw() {
	s.runner.mu.Lock()
	defer s.runner.mu.Unlock()
	delete(s.runner.sessions, s.ticket)
}

// abandon ends a request whose time is over or whose caller is gone while it waits.
func (s *session) abandon() {
	r := s.runner
	r.mu.Lock()
	select {
	case action := <-s.actions:
		// The pool started the request at the same moment; nothing was sent yet.
		if _, ok := action.(pool.Start); ok {
			s.home.act(r, s.request.Pool, r.pool.Finish(s.home.common.Clock.Now(), s.ticket, pool.Result{Kind: pool.Cancelled}))
		}
	default:
		s.home.act(r, s.request.Pool, r.pool.Cancel(s.home.common.Clock.Now(), s.ticket))
	}
	r.mu.Unlock()
	if s.attempts > 0 {
		s.deliver()
		return
	}
	s.refuse(azuretiller.CodeQueueTimeout, time.Second)
}

// handle carries out one action and reports whether the request is over.
func (s *session) handle(ctx context.Context, action pool.Action) bool {
	switch a := action.(type) {
	case pool.Start:
		s.queued += a.Queued
		return s.attempt(ctx, a.Server)
	case pool.Refuse:
		s.refuse(a.Code, a.RetryAfter)
		return true
	case pool.Deliver:
		s.deliver()
		return true
	default:
		return false
	}
}

// attempt sends the request to a server and reports whether its answer was delivered.
func (s *session) attempt(ctx context.Context, server azuretiller.ServerID) bool {
	s.attempts++
	answer := s.home.sender.Send(ctx, server, s.request, s.body.Reader(), s.trailers, s.deadline.Sub(s.home.common.Clock.Now()))
	s.service += answer.Latency
	if answer.Kind == pool.Succeeded && answer.Response != nil {
		s.timer.Stop()
		s.home.survived(s.fingerprint)
		s.pass(server, answer)
		return true
	}
	s.mayHaveRun = s.mayHaveRun || !answer.Kind.NotRun()
	s.remember(server, answer)
	if answer.Crashed {
		s.crashed(server)
	}
	replayable := s.body.Replayable() && !s.home.held(s.fingerprint)
	s.finish(pool.Result{Kind: answer.Kind, Latency: answer.Latency, Replayable: replayable})
	return false
}

func (s *session) crashed(server azuretiller.ServerID) {
	s.home.Crashed(s.fingerprint, server)
	s.home.peers.ReportCrash(s.request.Pool.Service, s.fingerprint, server)
}

func (s *session) finish(result pool.Result) {
	r := s.runner
	r.mu.Lock()
	defer r.mu.Unlock()
	s.home.act(r, s.request.Pool, r.pool.Finish(s.home.common.Clock.Now(), s.ticket, result))
}

// remember keeps a failed attempt, so that it can be delivered when there is no other.
func (s *session) remember(server azuretiller.ServerID, answer dispatch.Answer) {
	s.payload = nil
	s.last = exchange.Response{Code: codeOf(answer.Kind), Detail: answer.Reason, Server: server}
	if answer.Response == nil {
		return
	}
	defer func() { _ = answer.Response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(answer.Response.Body, errorBytes+1))
	if answer.Kind == pool.Shed {
		return
	}
	if err != nil || len(data) > errorBytes {
		s.last.Code = azuretiller.CodeTruncated
		return
	}
	s.last = s.head(server, answer.Response)
	s.last.Length = int64(len(data))
	s.payload = data
}

func codeOf(kind pool.ResultKind) azuretiller.Code {
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

func (s *session) head(server azuretiller.ServerID, response *http.Response) exchange.Response {
	h := response.Header.Clone()
	headers.StripHopByHop(h)
	headers.StripOwn(h)
	return exchange.Response{
		Code:    azuretiller.CodeOK,
		Status:  response.StatusCode,
		Headers: h,
		Length:  response.ContentLength,
		Server:  server,
	}
}

// pass hands a good answer on while it arrives; the slot is taken until its body has ended.
func (s *session) pass(server azuretiller.ServerID, answer dispatch.Answer) {
	response := answer.Response
	defer func() { _ = response.Body.Close() }()
	result := pool.Result{Kind: pool.Succeeded, Latency: answer.Latency}
	head := s.complete(s.head(server, response))
	err := s.stream.WriteResponse(head)
	if err == nil {
		result.Kind, err = s.copyBody(response)
	}
	if err != nil && result.Kind == pool.Succeeded {
		result.Kind = pool.Cancelled
	}
	s.finish(result)
}

// copyBody sends the body in frames, of which the last says whether the body is whole.
func (s *session) copyBody(response *http.Response) (pool.ResultKind, error) {
	buffer := wire.FrameBuffer(response.ContentLength)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			if err := s.stream.WriteFrame(exchange.Frame{Data: buffer[:n]}); err != nil {
				return pool.Cancelled, err
			}
		}
		if err == io.EOF {
			return pool.Succeeded, s.stream.WriteFrame(exchange.Frame{
				End:      true,
				Code:     azuretiller.CodeOK,
				Trailers: response.Trailer,
			})
		}
		if err != nil {
			return pool.Broken, s.stream.WriteFrame(exchange.Frame{End: true, Code: azuretiller.CodeTruncated})
		}
	}
}

func (s *session) complete(r exchange.Response) exchange.Response {
	r.Attempts = s.attempts
	r.Queue = s.queued
	r.Service = s.service
	s.runner.mu.Lock()
	r.Load = s.runner.pool.Load()
	s.runner.mu.Unlock()
	return r
}

func (s *session) deliver() {
	s.last.Code = s.truthful(s.last.Code)
	if err := s.stream.WriteResponse(s.complete(s.last)); err != nil {
		return
	}
	if s.last.Code != azuretiller.CodeOK {
		return
	}
	_ = s.stream.WriteFrame(exchange.Frame{Data: s.payload})
	_ = s.stream.WriteFrame(exchange.Frame{End: true, Code: azuretiller.CodeOK})
}

// truthful replaces a code that says "not run" when an earlier attempt may have run.
func (s *session) truthful(code azuretiller.Code) azuretiller.Code {
	if s.mayHaveRun && code.Outcome() == azuretiller.NotRun {
		return azuretiller.CodeServerFailed
	}
	return code
}

func (s *session) refuse(code azuretiller.Code, wait time.Duration) {
	r := exchange.Response{Code: s.truthful(code), RetryAfter: wait, Attempts: s.attempts, Queue: s.queued}
	if s.runner != nil {
		r = s.complete(r)
		r.RetryAfter = wait
	}
	_ = s.stream.WriteResponse(r)
}
