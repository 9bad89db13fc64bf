package mesh

import (
	"context"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/common"
	"github.com/azuretiller/azuretiller/pkg/counting"
	"github.com/azuretiller/azuretiller/pkg/exchange"
	"github.com/azuretiller/azuretiller/pkg/handshake"
	"github.com/azuretiller/azuretiller/pkg/peerpb"
	"github.com/azuretiller/azuretiller/pkg/wire"
)

const (
	dialTimeout   = time.Second
	openTimeout   = 5 * time.Second
	writeTimeout  = 5 * time.Second
	keepAlive     = 10 * time.Second
	windowBytes   = 1 << 20
	missesAllowed = 3
)

// Handler serves the streams that other VMs open.
type Handler interface {
	// ServeRequest takes over a stream that carries a request.
	ServeRequest(ctx context.Context, from azuretiller.VMID, request exchange.Request, stream *wire.Stream)
	// ServeCall answers one call.
	ServeCall(ctx context.Context, from azuretiller.VMID, call *peerpb.Call) *peerpb.Answer
}

// Mesh opens one connection to each VM it talks to and accepts those of others.
type Mesh struct {
	common    *common.Common
	handshake *handshake.Handshake
	handler   Handler
	bytes     *counting.Counter

	mu    sync.Mutex
	links map[string]*link
}

// link is the outgoing connection to one address.
type link struct {
	mu      sync.Mutex
	session *yamux.Session
	// former sessions carry the streams that were open when calls stopped being answered.
	former []*yamux.Session
	misses int
}

// New returns a mesh without connections.
func New(c *common.Common, h *handshake.Handshake, handler Handler) *Mesh {
	return &Mesh{common: c, handshake: h, handler: handler, bytes: counting.New(), links: map[string]*link{}}
}

// Serve accepts connections until the context ends.
func (m *Mesh) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept peer")
		}
		go m.accept(ctx, m.bytes.Wrap(conn))
	}
}

func (m *Mesh) accept(ctx context.Context, conn net.Conn) {
	from, err := m.handshake.Accept(conn)
	if err != nil {
		m.common.Log.WithField("remote", conn.RemoteAddr()).WithField("error", err).Warn("peer refused")
		_ = conn.Close()
		return
	}
	session, err := yamux.Server(conn, sessionConfig())
	if err != nil {
		_ = conn.Close()
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	defer stop()
	for {
		stream, err := session.AcceptStreamWithContext(ctx)
		if err != nil {
			_ = session.Close()
			return
		}
		go m.serve(ctx, from, stream)
	}
}

func (m *Mesh) serve(ctx context.Context, from azuretiller.VMID, conn net.Conn) {
	stream := wire.New(conn)
	defer func() { _ = stream.Close() }()
	open := &peerpb.Open{}
	_ = stream.SetDeadline(time.Now().Add(openTimeout))
	if err := stream.Read(open); err != nil {
		return
	}
	_ = stream.SetDeadline(time.Time{})
	switch kind := open.GetKind().(type) {
	case *peerpb.Open_Request:
		m.handler.ServeRequest(ctx, from, wire.DecodeRequest(kind.Request), stream)
	case *peerpb.Open_Call:
		if answer := m.handler.ServeCall(ctx, from, kind.Call); answer != nil {
			_ = stream.Write(answer)
		}
	}
}

// Open opens a stream to a VM; an error means that nothing was sent.
func (m *Mesh) Open(ctx context.Context, to azuretiller.VM) (*wire.Stream, error) {
	l := m.link(to.Peer)
	session, err := l.connect(ctx, m, to.Peer)
	if err != nil {
		return nil, err
	}
	conn, err := session.OpenStream()
	if err != nil {
		l.drop(session)
		return nil, errors.Wrapf(err, "open stream to %s", to.ID)
	}
	return wire.New(conn), nil
}

// Call sends one call to a VM and returns its answer; the context must have a deadline.
func (m *Mesh) Call(ctx context.Context, to azuretiller.VM, call *peerpb.Call) (*peerpb.Answer, error) {
	stream, err := m.Open(ctx, to)
	if err != nil {
		return nil, err
	}
	defer func() { _ = stream.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	answer := &peerpb.Answer{}
	err = stream.Write(&peerpb.Open{Kind: &peerpb.Open_Call{Call: call}})
	if err == nil {
		err = stream.Read(answer)
	}
	m.link(to.Peer).count(err)
	if err != nil {
		return nil, errors.Wrapf(err, "call %s", to.ID)
	}
	if answer.GetError() != "" {
		return nil, errors.Newf("call %s: %s", to.ID, answer.GetError())
	}
	return answer, nil
}

func (m *Mesh) link(address string) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.links[address]
	if l == nil {
		l = &link{}
		m.links[address] = l
	}
	return l
}

// Bytes returns the bytes that passed between this VM and the others.
func (m *Mesh) Bytes() (read, written int64) { return m.bytes.Read(), m.bytes.Written() }

// Close ends all outgoing connections.
func (m *Mesh) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		l.close()
	}
}

func (l *link) connect(ctx context.Context, m *Mesh, address string) (*yamux.Session, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session != nil && !l.session.IsClosed() {
		return l.session, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "dial peer")
	}
	conn = m.bytes.Wrap(conn)
	if _, err := m.handshake.Dial(conn); err != nil {
		_ = conn.Close()
		return nil, errors.Wrapf(err, "greet peer %s", address)
	}
	session, err := yamux.Client(conn, sessionConfig())
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrapf(err, "start session with %s", address)
	}
	l.session = session
	l.misses = 0
	return session, nil
}

func (l *link) drop(session *yamux.Session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session == session {
		_ = session.Close()
		l.session = nil
	}
}

// count opens no further streams on a connection after several calls in a row had no answer.
func (l *link) count(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		l.misses = 0
		return
	}
	l.misses++
	if l.misses < missesAllowed || l.session == nil {
		return
	}
	l.former = slices.DeleteFunc(l.former, (*yamux.Session).IsClosed)
	l.former = append(l.former, l.session)
	l.session = nil
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, session := range append(l.former, l.session) {
		if session != nil {
			_ = session.Close()
		}
	}
}

func sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.LogOutput = io.Discard
	c.ConnectionWriteTimeout = writeTimeout
	c.KeepAliveInterval = keepAlive
	c.MaxStreamWindowSize = windowBytes
	c.AcceptBacklog = 1024
	return c
}
