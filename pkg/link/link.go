package link

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
	// At is when the message was received.
	At time.Time
	message.Envelope
}

// Link is the UDP socket of one VM for messages to other VMs.
type Link struct {
	conn *net.UDPConn
	// receive handles all messages that are not replies to an open call.
	receive func(Incoming)

	mu       sync.Mutex
	lastCall uint64
	calls    map[uint64]chan any
}

// New returns a link over a socket. Call numbers start after first, which must be larger than any call number
// that an earlier process on the same address used.
func New(conn *net.UDPConn, first uint64, receive func(Incoming)) *Link {
	return &Link{conn: conn, receive: receive, lastCall: first, calls: map[uint64]chan any{}}
}

// Run receives datagrams until the context ends.
func (l *Link) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = l.conn.Close() })
	defer stop()
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := l.conn.ReadFromUDPAddrPort(buffer)
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
		l.deliver(Incoming{At: time.Now(), From: netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String(), Envelope: e})
	}
}

func (l *Link) deliver(in Incoming) {
	l.mu.Lock()
	replies, ok := l.calls[in.Call]
	l.mu.Unlock()
	if !ok || !isReply(in.Body) {
		l.receive(in)
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
func (l *Link) Send(to string, e message.Envelope) error {
	address, err := netip.ParseAddrPort(to)
	if err != nil {
		return errors.Wrapf(err, "parse the address %q of a VM", to)
	}
	data, err := fleetwire.Encode(e)
	if err != nil {
		return err
	}
	_, err = l.conn.WriteToUDPAddrPort(data, address)
	return errors.Wrapf(err, "send a datagram to %s", to)
}

// Open starts a call and returns its number and a channel for the replies. The caller must call done at the end.
func (l *Link) Open() (call uint64, replies <-chan any, done func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastCall++
	call = l.lastCall
	c := make(chan any, maxBufferedReplies)
	l.calls[call] = c
	return call, c, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.calls, call)
	}
}
