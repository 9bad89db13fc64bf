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
	// largest is the most bytes that a datagram over IPv4 can have.
	largest = 65507
	// answersKept is how many answers to one question may wait to be read.
	answersKept = 4
)

// Incoming is a message with the host:port it came from.
type Incoming struct {
	From string
	// At is when the message was received.
	At time.Time
	message.Envelope
}

// Link is the socket for datagrams of one VM.
type Link struct {
	conn *net.UDPConn
	// receive gets all messages that answer no open call.
	receive func(Incoming)

	mu    sync.Mutex
	last  uint64
	calls map[uint64]chan any
}

// New returns a link over a socket; calls are numbered from first on, which must be larger than any number
// that an earlier process on the same address used.
func New(conn *net.UDPConn, first uint64, receive func(Incoming)) *Link {
	return &Link{conn: conn, receive: receive, last: first, calls: map[uint64]chan any{}}
}

// Run receives until the context ends.
func (l *Link) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = l.conn.Close() })
	defer stop()
	buffer := make([]byte, largest)
	for {
		n, from, err := l.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return errors.Wrap(err, "receive datagrams")
		}
		if err != nil {
			// The socket reports here that an earlier datagram met a closed port.
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
	answers, ok := l.calls[in.Call]
	l.mu.Unlock()
	if !ok || !isAnswer(in.Body) {
		l.receive(in)
		return
	}
	select {
	case answers <- in.Body:
	default:
	}
}

func isAnswer(body any) bool {
	switch body.(type) {
	case message.Grant, message.Seen, message.Vote:
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

// Open begins a call: it returns its number and the answers; done must be called in the end.
func (l *Link) Open() (call uint64, answers <-chan any, done func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last++
	call = l.last
	c := make(chan any, answersKept)
	l.calls[call] = c
	return call, c, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.calls, call)
	}
}
