package faultproxy

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Faults configures the faults that a proxy injects into its connections; the zero value injects none.
type Faults struct {
	// Delay is the time before each chunk of data is forwarded.
	Delay time.Duration
	// DropToTarget drops data sent to the target and DropFromTarget drops data received from it, also on open connections.
	DropToTarget, DropFromTarget bool
	// Refuse closes new connections immediately.
	Refuse bool
}

// Proxy listens on one address and forwards connections to another.
type Proxy struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	faults Faults
	conns  map[net.Conn]bool
}

// New returns a proxy that listens on an address; port 0 selects a free port.
func New(ctx context.Context, listen, target string) (*Proxy, error) {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", listen)
	if err != nil {
		return nil, errors.Wrap(err, "open proxy socket")
	}
	return &Proxy{listener: l, target: target, conns: map[net.Conn]bool{}}, nil
}

// Address returns the host:port that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetFaults replaces the injected faults; the zero value forwards all data.
func (p *Proxy) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Reset closes all open connections with a TCP reset.
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

func (p *Proxy) currentFaults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Serve forwards connections until ctx is done.
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
		if p.currentFaults().Refuse {
			_ = conn.Close()
			continue
		}
		go p.forward(ctx, conn)
	}
}

func (p *Proxy) forward(ctx context.Context, caller net.Conn) {
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
	go p.copy(target, caller, func(f Faults) bool { return f.DropToTarget }, done)
	go p.copy(caller, target, func(f Faults) bool { return f.DropFromTarget }, done)
	<-done
	<-done
	_ = caller.Close()
	_ = target.Close()
	p.mu.Lock()
	delete(p.conns, caller)
	delete(p.conns, target)
	p.mu.Unlock()
}

func (p *Proxy) copy(to, from net.Conn, dropped func(Faults) bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		faults := p.currentFaults()
		if n > 0 && !dropped(faults) {
			time.Sleep(faults.Delay)
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
