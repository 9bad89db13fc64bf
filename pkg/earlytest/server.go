package earlytest

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// UploadSize is the size in bytes of an upload that is larger than the buffers of the kernel, so that it is still being written when the
// response ends.
const UploadSize = 1 << 40

// Upload is a body without an end.
type Upload struct{}

// Read fills p.
func (Upload) Read(p []byte) (int, error) { return len(p), nil }

// Server is a backend server that accepts one connection, on which it responds to the head of an upload.
type Server struct {
	Address string
	conn    *conn
	serving sync.WaitGroup
}

// Params says what a Server does, and what its client sees of it.
type Params struct {
	// Response is what the server sends before it ends the connection.
	Response string
	End      End
	// WriteFails means that the last bytes of the response are read after a write has failed.
	WriteFails bool
	// HoldWrite means that a failed write returns after the reads have ended.
	HoldWrite bool
}

// Start returns a running server.
func Start(t *testing.T, p Params) *Server {
	t.Helper()
	var listenConfig net.ListenConfig
	l, err := listenConfig.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	client, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", l.Addr().String())
	require.NoError(t, err)
	accepted, err := l.Accept()
	require.NoError(t, err)
	s := &Server{Address: l.Addr().String(), conn: newConn(client, p)}
	s.serving.Go(func() { s.respond(t, accepted, p) })
	return s
}

// Dial returns the connection to the server.
func (s *Server) Dial(context.Context, string, string) (net.Conn, error) { return s.conn, nil }

// Wait waits until the server has ended the connection.
func (s *Server) Wait() { s.serving.Wait() }

func (s *Server) respond(t *testing.T, accepted net.Conn, p Params) {
	t.Helper()
	defer func() { _ = accepted.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(accepted)); !assert.NoError(t, err) {
		return
	}
	_, _ = io.WriteString(accepted, p.Response)
	<-s.conn.consumed
	if tcp, ok := accepted.(*net.TCPConn); assert.True(t, ok) {
		p.End(tcp)
	}
}
