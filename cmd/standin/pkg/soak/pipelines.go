package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/azuretiller/azuretiller/cmd/standin/pkg/backendserver"
	"github.com/azuretiller/azuretiller/pkg/timer"
	"github.com/azuretiller/azuretiller/platform"
)

const (
	// pipeliners is the number of callers that do not wait for responses.
	pipeliners = 8
	// maxReadsBehind is the largest number of reads that follow a slow request before its response.
	maxReadsBehind = 3
	// maxReadInterval is the longest time between them.
	maxReadInterval = 200 * time.Millisecond
	// maxSlowTime is the longest time that a backend server takes for a slow request.
	maxSlowTime = maxRouteTimeout
	// maxUnanswered is more than the number of requests that a caller sends on a connection within responsePatience.
	maxUnanswered = 1024
	// responsePatience is the time after which a caller gives up waiting for a response.
	responsePatience = 2 * maxRouteTimeout
	// redialInterval is the time before a caller connects again.
	redialInterval = 50 * time.Millisecond
)

// pipeline is an open connection of a caller that sends reads behind a slow request.
type pipeline struct {
	soak   *Soak
	vm     *vm
	conn   net.Conn
	random *rand.Rand
	// sent has the requests in their order, which is that of the responses.
	sent chan outcome
}

// runPipelines sends the requests of one caller, on each connection until the VM closes it, until the context ends.
func (s *Soak) runPipelines(ctx context.Context, caller int) {
	random := rand.New(rand.NewPCG(s.params.Seed, uint64(2000+caller)))
	var dialer net.Dialer
	for ctx.Err() == nil {
		v := s.vms[random.IntN(len(s.vms))]
		if conn, err := dialer.DialContext(ctx, "tcp", v.callerAddress()); err == nil {
			p := &pipeline{soak: s, vm: v, conn: conn, random: random, sent: make(chan outcome, maxUnanswered)}
			p.run(ctx)
		}
		timer.Sleep(ctx, redialInterval)
	}
}

// run sends requests until the connection ends.
func (p *pipeline) run(ctx context.Context) {
	openCtx, closed := context.WithCancel(ctx)
	defer closed()
	context.AfterFunc(openCtx, func() { _ = p.conn.Close() })
	var receiver sync.WaitGroup
	receiver.Go(func() { p.receive(ctx, closed) })
	for openCtx.Err() == nil {
		p.sendSeries(openCtx)
		timer.Sleep(openCtx, drawDuration(p.random, 0, maxRouteTimeout))
	}
	close(p.sent)
	receiver.Wait()
}

// sendSeries sends a slow request and reads behind it.
func (p *pipeline) sendSeries(ctx context.Context) {
	p.send(p.random.IntN(2) == 0, drawDuration(p.random, 0, maxSlowTime))
	for range p.random.IntN(maxReadsBehind + 1) {
		timer.Sleep(ctx, drawDuration(p.random, 0, maxReadInterval))
		if ctx.Err() != nil {
			return
		}
		p.send(false, 0)
	}
}

// send sends a request for which a backend server takes the given time, or its usual one if that is 0.
func (p *pipeline) send(order bool, slow time.Duration) {
	o := outcome{attempt: p.soak.recorder.nextAttempt(), order: order, key: freeKey, vm: p.vm, sentAt: time.Now()}
	method, path, body := http.MethodGet, readsPath, ""
	if order {
		method, path, body = http.MethodPost, ordersPath, "body of "+o.attempt
	}
	head := fmt.Sprintf("%s %s%s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n",
		method, path, o.attempt, host, o.key, platform.HeaderAttempt, o.attempt, platform.HeaderDeadline, maxRouteTimeout.Milliseconds(), len(body))
	if slow > 0 {
		head += fmt.Sprintf("%s: %s\r\n", backendserver.HeaderServiceTime, slow)
	}
	p.vm.unanswered.Add(1)
	p.sent <- o
	// After an error, the reader records the request as unanswered.
	_, _ = io.WriteString(p.conn, head+"\r\n"+body)
}

// receive reads the responses, calls closed when the connection has ended, and records all requests that were sent.
func (p *pipeline) receive(ctx context.Context, closed func()) {
	responses := bufio.NewReader(p.conn)
	open := true
	for o := range p.sent {
		if open && !p.receiveResponse(responses, &o) {
			open = false
			closed()
		}
		o.endedAt, o.callerLeft = time.Now(), ctx.Err() != nil
		p.vm.unanswered.Add(-1)
		p.soak.recorder.record(o)
	}
}

// receiveResponse reads the next response and reports whether it is complete.
func (p *pipeline) receiveResponse(responses *bufio.Reader, o *outcome) bool {
	_ = p.conn.SetReadDeadline(time.Now().Add(responsePatience))
	response, err := http.ReadResponse(responses, nil)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	o.begun = true
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return false
	}
	o.status = response.StatusCode
	if o.status == http.StatusOK && response.Header.Get(platform.HeaderAttempt) != o.attempt {
		p.soak.recorder.recordViolation("pipelined request " + o.attempt + " got the response to another request")
	}
	return true
}
