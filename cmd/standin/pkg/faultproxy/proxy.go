package faultproxy

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Harm is what a proxy does to its connections.
type Harm struct {
	// Delay is added to each piece that is passed on.
	Delay time.Duration
	// SilentTo and SilentFrom drop what goes to or comes from the target, on open connections too.
	SilentTo, SilentFrom bool
	// Refuse ends new connections at once.
	Refuse bool
}

// Proxy listens on one address and passes connections on to another.
type Proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	harm  Harm
	conns map[net.Conn]bool
}

// New returns a proxy that listens on an address; port 0 takes a free one.
func New(ctx context.Context, listen, target string) (*Proxy, error) {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen for a proxy")
	}
	return &Proxy{listener: l, target: target, conns: map[net.Conn]bool{}}, nil
}

// Address returns the host:port that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set replaces the harm; the zero value passes everything on.
func (p *Proxy) Set(h Harm) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.harm = h
}

// Reset ends all open connections with a reset.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	clear(p.conns)
}

func (p *Proxy) current() Harm {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.harm
}

// Serve passes connections on until the context ends.
func (p *Proxy) Serve(ctx context.Context) {
	context.AfterFunc(ctx, func() {
		_ = p.listener.Close()
		p.Reset()
	})
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.current().Refuse {
			_ = conn.Close()
			continue
		}
		go p.pass(ctx, conn)
	}
}

func (p *Proxy) pass(ctx context.Context, caller net.Conn) {
	var dialer net.Dialer
	target, err := dialer.DialContext(ctx, "tcp", p.target)
	if err != nil {
		_ = caller.Close()
		return
	}
	p.mu.Lock()
	p.conns[caller], p.conns[target] = true, true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go p.copy(target, caller, func(h Harm) bool { return h.SilentTo }, done)
	go p.copy(caller, target, func(h Harm) bool { return h.SilentFrom }, done)
	<-done
	<-done
	_ = caller.Close()
	_ = target.Close()
	p.mu.Lock()
	delete(p.conns, caller)
	delete(p.conns, target)
	p.mu.Unlock()
}

func (p *Proxy) copy(to, from net.Conn, silent func(Harm) bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		harm := p.current()
		if n > 0 && !silent(harm) {
			time.Sleep(harm.Delay)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}
