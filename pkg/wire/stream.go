package wire

import (
	"bufio"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/azuretiller/azuretiller/pkg/forward"
	"github.com/azuretiller/azuretiller/pkg/peerpb"
)

const (
	maxMessageBytes = 16 << 20
	// bufferBytes is large enough for the heads of most requests; larger body frames bypass the buffers.
	bufferBytes = 4 << 10
	frameBytes  = 32 << 10
)

// Stream carries the messages of one request or call between two VMs; one goroutine may read while another writes.
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

// FrameBuffer returns a read buffer for the frames of a body of the given length in bytes; -1 means that it is unknown.
func FrameBuffer(length int64) []byte {
	if length >= 0 && length < frameBytes {
		// With one spare byte, the read that returns the last bytes can also return the end of the body.
		return make([]byte, length+1)
	}
	return make([]byte, frameBytes)
}

// Close closes the stream in both directions.
func (s *Stream) Close() error { return s.conn.Close() }

// SetDeadline sets the time after which reads and writes fail; the zero time removes the deadline.
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
	options := protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}
	return errors.Wrap(options.UnmarshalFrom(s.in, m), "read message")
}

// WriteRequest sends the first message of the stream: the head of a request.
func (s *Stream) WriteRequest(r forward.Request) error {
	return s.Write(&peerpb.Open{Kind: &peerpb.Open_Request{Request: encodeRequest(r)}})
}

// WriteResponse sends the head of a response.
func (s *Stream) WriteResponse(r forward.Response) error {
	return s.Write(encodeResponse(r))
}

// ReadResponse receives the head of a response.
func (s *Stream) ReadResponse() (forward.Response, error) {
	m := &peerpb.ResponseHead{}
	if err := s.Read(m); err != nil {
		return forward.Response{}, err
	}
	return decodeResponse(m), nil
}

// WriteFrame sends one frame of a body.
func (s *Stream) WriteFrame(f forward.Frame) error {
	return s.Write(encodeFrame(f))
}

// ReadFrame receives one frame of a body.
func (s *Stream) ReadFrame() (forward.Frame, error) {
	m := &peerpb.Frame{}
	if err := s.Read(m); err != nil {
		return forward.Frame{}, err
	}
	return decodeFrame(m), nil
}
