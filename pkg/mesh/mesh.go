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
	"github.com/azuretiller/azuretiller/pkg/bytecount"
	"github.com/azuretiller/azuretiller/pkg/common"
	"github.com/azuretiller/azuretiller/pkg/connlimit"
	"github.com/azuretiller/azuretiller/pkg/forward"
	"github.com/azuretiller/azuretiller/pkg/handshake"
	"github.com/azuretiller/azuretiller/pkg/peerpb"
	"github.com/azuretiller/azuretiller/pkg/timer"
	"github.com/azuretiller/azuretiller/pkg/wire"
)

const (
	dialTimeout         = time.Second
	firstMessageTimeout = 5 * time.Second
	writeTimeout        = 5 * time.Second
	keepAliveInterval   = 10 * time.Second
	// acceptPause is the time after a failure to accept a connection.
	acceptPause       = 100 * time.Millisecond
	streamWindowBytes = 1 << 20
	// maxFailedCalls is the number of calls in a row without an answer after which a new connection is opened.
	maxFailedCalls = 3
)

// Handler serves the streams that other VMs open.
type Handler interface {
	// ServeRequest serves a request. It reads the body from the stream and writes the response to it.
	ServeRequest(ctx context.Context, from azuretiller.VMID, request forward.Request, stream *wire.Stream)
	// ServeCall returns the answer to a call, or nil if none is to be sent.
	ServeCall(ctx context.Context, from azuretiller.VMID, call *peerpb.Call) *peerpb.Answer
}

// Mesh opens one connection to each VM that it calls, and accepts connections from other VMs.
type Mesh struct {
	common    *common.Common
	handshake *handshake.Handshake
	handler   Handler
	traffic   *bytecount.Counter
	// ctx ends with Close.
	ctx    context.Context
	cancel context.CancelFunc

	mu    sync.Mutex
	conns map[string]*peerConn
}

// peerConn is the outgoing connection to one address.
type peerConn struct {
	mu      sync.Mutex
	session *yamux.Session
	// retired holds sessions that were replaced after failed calls, or since no stream could be opened. They stay open for the streams that still use them.
	retired     []*yamux.Session
	failedCalls int
}

// New returns a mesh that has no connections yet.
func New(c *common.Common, h *handshake.Handshake, handler Handler) *Mesh {
	ctx, cancel := context.WithCancel(context.Background())
	return &Mesh{common: c, handshake: h, handler: handler, traffic: bytecount.New(), ctx: ctx, cancel: cancel, conns: map[string]*peerConn{}}
}

// Serve accepts connections until the context is done. Connections of a limiter are kept once the handshake has succeeded.
func (m *Mesh) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return errors.Wrap(err, "accept connection of peer")
		}
		if err != nil {
			// The listener remains usable, for example after a lack of descriptors.
			m.common.Log.WithField("error", err).Warn("peer not accepted")
			timer.Sleep(ctx, acceptPause)
			continue
		}
		go m.serveConn(ctx, conn)
	}
}

func (m *Mesh) serveConn(ctx context.Context, accepted net.Conn) {
	conn := m.traffic.Wrap(accepted)
	from, err := m.handshake.Accept(conn)
	if err != nil {
		m.common.Log.WithField("remote", conn.RemoteAddr()).WithField("error", err).Warn("peer refused")
		_ = conn.Close()
		return
	}
	connlimit.Keep(accepted)
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
		go m.serveStream(ctx, from, stream)
	}
}

func (m *Mesh) serveStream(ctx context.Context, from azuretiller.VMID, conn net.Conn) {
	stream := wire.New(conn)
	defer func() { _ = stream.Close() }()
	open := &peerpb.Open{}
	_ = stream.SetDeadline(time.Now().Add(firstMessageTimeout))
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

// Open opens a stream to a VM. If it returns an error, no data was sent.
func (m *Mesh) Open(ctx context.Context, to azuretiller.VM) (*wire.Stream, error) {
	c := m.peerConn(to.PeerAddress)
	session, err := c.connect(ctx, m, to.PeerAddress)
	if err != nil {
		return nil, err
	}
	conn, err := session.OpenStream()
	if err != nil {
		c.retire(session)
		return nil, errors.Wrapf(err, "open stream to %s", to.ID)
	}
	return wire.New(conn), nil
}

// Call sends a call to a VM and returns its answer. The context must have a deadline.
func (m *Mesh) Call(ctx context.Context, to azuretiller.VM, call *peerpb.Call) (*peerpb.Answer, error) {
	stream, err := m.Open(ctx, to)
	if err != nil {
		return nil, err
	}
	defer func() { _ = stream.Close() }()
	// A deadline in the past ends the pending read or write at once.
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	answer := &peerpb.Answer{}
	err = stream.Write(&peerpb.Open{Kind: &peerpb.Open_Call{Call: call}})
	if err == nil {
		err = stream.Read(answer)
	}
	m.peerConn(to.PeerAddress).recordCall(err)
	if err != nil {
		return nil, errors.Wrapf(err, "call %s", to.ID)
	}
	if answer.GetError() != "" {
		return nil, errors.Newf("call %s: %s", to.ID, answer.GetError())
	}
	return answer, nil
}

func (m *Mesh) peerConn(address string) *peerConn {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.conns[address]
	if c == nil {
		c = &peerConn{}
		m.conns[address] = c
	}
	return c
}

// Bytes returns the number of bytes read from and written to other VMs.
func (m *Mesh) Bytes() (read, written int64) { return m.traffic.BytesRead(), m.traffic.BytesWritten() }

// Close closes all outgoing connections, also those that are being opened. No others are opened afterwards.
func (m *Mesh) Close() {
	m.cancel()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.conns {
		c.close()
	}
}

// connect returns the current session, or dials the address if there is none.
func (c *peerConn) connect(ctx context.Context, m *Mesh, address string) (*yamux.Session, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session != nil && !c.session.IsClosed() {
		return c.session, nil
	}
	if err := m.ctx.Err(); err != nil {
		return nil, errors.Wrap(err, "mesh closed")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(m.ctx, cancel)()
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "dial peer")
	}
	conn = m.traffic.Wrap(conn)
	// Without this, the handshake with a peer that does not answer ends with its own timeout.
	defer context.AfterFunc(m.ctx, func() { _ = conn.Close() })()
	if _, err := m.handshake.Dial(conn); err != nil {
		_ = conn.Close()
		return nil, errors.Wrapf(err, "handshake with peer %s", address)
	}
	session, err := yamux.Client(conn, sessionConfig())
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrapf(err, "start yamux session with peer %s", address)
	}
	c.session = session
	c.failedCalls = 0
	return session, nil
}

// retire makes the next stream be opened on a new connection, unless the session has been replaced already.
func (c *peerConn) retire(session *yamux.Session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session == session {
		c.retireLocked()
	}
}

func (c *peerConn) retireLocked() {
	c.retired = slices.DeleteFunc(c.retired, (*yamux.Session).IsClosed)
	c.retired = append(c.retired, c.session)
	c.session = nil
}

// recordCall counts failed calls in a row. After maxFailedCalls of them it retires the session, so that the next stream is
// opened on a new connection.
func (c *peerConn) recordCall(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.failedCalls = 0
		return
	}
	c.failedCalls++
	if c.failedCalls < maxFailedCalls || c.session == nil {
		return
	}
	c.retireLocked()
}

func (c *peerConn) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, session := range append(c.retired, c.session) {
		if session != nil {
			_ = session.Close()
		}
	}
}

func sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.LogOutput = io.Discard
	c.ConnectionWriteTimeout = writeTimeout
	c.KeepAliveInterval = keepAliveInterval
	c.MaxStreamWindowSize = streamWindowBytes
	c.AcceptBacklog = 1024
	return c
}
