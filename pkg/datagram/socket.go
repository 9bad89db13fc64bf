package datagram

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azuretiller/azuretiller/pkg/fleetwire"
	"github.com/azuretiller/azuretiller/pkg/message"
)

const (
	// maxDatagramBytes is the largest UDP payload over IPv4.
	maxDatagramBytes = 65507
	// maxBufferedReplies is the number of unread replies that are kept for one call; further replies are dropped.
	maxBufferedReplies = 4
)

// Incoming is a received message with the host:port of its sender.
type Incoming struct {
	From string
	// ReceivedAt is when the message was received.
	ReceivedAt time.Time
	message.Envelope
}

// Socket is the UDP socket of one VM for messages to other VMs.
type Socket struct {
	conn *net.UDPConn
	// receive handles all messages that are not replies to an open call.
	receive func(Incoming)

	mu       sync.Mutex
	lastCall uint64
	calls    map[uint64]chan any
}

// New returns a Socket that uses conn. Call numbers start after lastCall, which must be larger than any call number that an
// earlier process on the same address used.
func New(conn *net.UDPConn, lastCall uint64, receive func(Incoming)) *Socket {
	return &Socket{conn: conn, receive: receive, lastCall: lastCall, calls: map[uint64]chan any{}}
}

// Run receives datagrams until the context ends. It drops datagrams that cannot be decoded.
func (s *Socket) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return errors.Wrap(err, "receive datagrams")
		}
		if err != nil {
			// The socket reports here that an earlier datagram was sent to a closed port. It remains usable.
			continue
		}
		e, err := fleetwire.Decode(buffer[:n])
		if err != nil {
			continue
		}
		s.deliver(Incoming{ReceivedAt: time.Now(), From: netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String(), Envelope: e})
	}
}

func (s *Socket) deliver(in Incoming) {
	s.mu.Lock()
	replies, ok := s.calls[in.Call]
	s.mu.Unlock()
	if !ok || !isReply(in.Body) {
		s.receive(in)
		return
	}
	select {
	case replies <- in.Body:
	default:
	}
}

func isReply(body any) bool {
	switch body.(type) {
	case message.PlaceResponse, message.ReportAck, message.Vote:
		return true
	}
	return false
}

// Send sends one datagram; it may be lost.
func (s *Socket) Send(to string, e message.Envelope) error {
	address, err := netip.ParseAddrPort(to)
	if err != nil {
		return errors.Wrapf(err, "parse the address %q of a VM", to)
	}
	data, err := fleetwire.Encode(e)
	if err != nil {
		return err
	}
	_, err = s.conn.WriteToUDPAddrPort(data, address)
	return errors.Wrapf(err, "send a datagram to %s", to)
}

// StartCall starts a call and returns its number and a channel for the replies. The caller must call done at the end.
func (s *Socket) StartCall() (call uint64, replies <-chan any, done func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastCall++
	call = s.lastCall
	c := make(chan any, maxBufferedReplies)
	s.calls[call] = c
	return call, c, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.calls, call)
	}
}
