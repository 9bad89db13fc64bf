package wire

import (
	"bufio"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/azuretiller/azuretiller/pkg/exchange"
	"github.com/azuretiller/azuretiller/pkg/peerpb"
)

const (
	maxMessage = 16 << 20
	// bufferBytes holds the heads of most requests; larger parts of bodies pass the buffers by.
	bufferBytes = 4 << 10
	frameBytes  = 32 << 10
)

// Stream is one exchange with another VM; one goroutine may read while another writes.
type Stream struct {
	conn net.Conn
	in   *bufio.Reader
	out  *bufio.Writer
}

// New returns a stream over a connection.
func New(conn net.Conn) *Stream {
	return &Stream{
		conn: conn,
		in:   bufio.NewReaderSize(conn, bufferBytes),
		out:  bufio.NewWriterSize(conn, bufferBytes),
	}
}

// FrameBuffer returns a buffer for the parts of a body whose length is known, or -1.
func FrameBuffer(length int64) []byte {
	if length >= 0 && length < frameBytes {
		// One byte more lets the end of the body be seen without another read.
		return make([]byte, length+1)
	}
	return make([]byte, frameBytes)
}

// Close ends the exchange in both directions.
func (s *Stream) Close() error { return s.conn.Close() }

// SetDeadline makes reads and writes fail from a time on.
func (s *Stream) SetDeadline(t time.Time) error { return s.conn.SetDeadline(t) }

// Write sends one message.
func (s *Stream) Write(m proto.Message) error {
	if _, err := protodelim.MarshalTo(s.out, m); err != nil {
		return errors.Wrap(err, "write message")
	}
	return errors.Wrap(s.out.Flush(), "write message")
}

// Read receives one message of at most 16 MiB into m.
func (s *Stream) Read(m proto.Message) error {
	options := protodelim.UnmarshalOptions{MaxSize: maxMessage}
	return errors.Wrap(options.UnmarshalFrom(s.in, m), "read message")
}

// WriteRequest opens the stream for a request.
func (s *Stream) WriteRequest(r exchange.Request) error {
	return s.Write(&peerpb.Open{Kind: &peerpb.Open_Request{Request: encodeRequest(r)}})
}

// WriteResponse sends the head of the answer.
func (s *Stream) WriteResponse(r exchange.Response) error {
	return s.Write(encodeResponse(r))
}

// ReadResponse receives the head of the answer.
func (s *Stream) ReadResponse() (exchange.Response, error) {
	m := &peerpb.ResponseHead{}
	if err := s.Read(m); err != nil {
		return exchange.Response{}, err
	}
	return decodeResponse(m), nil
}

// WriteFrame sends a part of a body.
func (s *Stream) WriteFrame(f exchange.Frame) error {
	return s.Write(encodeFrame(f))
}

// ReadFrame receives a part of a body.
func (s *Stream) ReadFrame() (exchange.Frame, error) {
	m := &peerpb.Frame{}
	if err := s.Read(m); err != nil {
		return exchange.Frame{}, err
	}
	return decodeFrame(m), nil
}
