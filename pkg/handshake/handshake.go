package handshake

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/peerpb"
)

const (
	nonceBytes = 32
	// maxHello keeps an unauthenticated sender from making this VM hold much memory.
	maxHello = 4096
	timeout  = time.Second

	roleDial   = "dial"
	roleAccept = "accept"
)

// ErrRefused is returned when the other side does not know the secret.
var ErrRefused = errors.New("the other side does not know the fleet's secret")

// Handshake authenticates connections with a shared secret.
type Handshake struct {
	secret []byte
	self   azuretiller.VM
}

// New returns the handshake of a VM.
func New(secret []byte, self azuretiller.VM) *Handshake {
	return &Handshake{secret: secret, self: self}
}

// Dial runs the calling side and returns the name of the other VM.
func (h *Handshake) Dial(conn net.Conn) (azuretiller.VMID, error) {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return "", errors.Wrap(err, "set handshake deadline")
	}
	mine, err := h.hello()
	if err != nil {
		return "", err
	}
	if err := send(conn, mine); err != nil {
		return "", err
	}
	theirs, err := receive(conn)
	if err != nil {
		return "", err
	}
	if !hmac.Equal(theirs.GetProof(), h.proof(roleAccept, theirs.GetVm(), mine.GetNonce(), theirs.GetNonce())) {
		return "", ErrRefused
	}
	mine.Proof = h.proof(roleDial, mine.GetVm(), theirs.GetNonce(), mine.GetNonce())
	if err := send(conn, mine); err != nil {
		return "", err
	}
	return azuretiller.VMID(theirs.GetVm()), errors.Wrap(conn.SetDeadline(time.Time{}), "clear handshake deadline")
}

// Accept runs the called side and returns the name of the other VM.
func (h *Handshake) Accept(conn net.Conn) (azuretiller.VMID, error) {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return "", errors.Wrap(err, "set handshake deadline")
	}
	theirs, err := receive(conn)
	if err != nil {
		return "", err
	}
	mine, err := h.hello()
	if err != nil {
		return "", err
	}
	mine.Proof = h.proof(roleAccept, mine.GetVm(), theirs.GetNonce(), mine.GetNonce())
	if err := send(conn, mine); err != nil {
		return "", err
	}
	answer, err := receive(conn)
	if err != nil {
		return "", err
	}
	if !hmac.Equal(answer.GetProof(), h.proof(roleDial, theirs.GetVm(), mine.GetNonce(), theirs.GetNonce())) {
		return "", ErrRefused
	}
	return azuretiller.VMID(theirs.GetVm()), errors.Wrap(conn.SetDeadline(time.Time{}), "clear handshake deadline")
}

func (h *Handshake) hello() (*peerpb.Hello, error) {
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return nil, errors.Wrap(err, "make nonce")
	}
	return &peerpb.Hello{Vm: string(h.self.ID), Incarnation: uint64(h.self.Incarnation), Nonce: nonce}, nil
}

func (h *Handshake) proof(role, vm string, challenge, own []byte) []byte {
	mac := hmac.New(sha256.New, h.secret)
	for _, part := range [][]byte{[]byte(role), []byte(vm), challenge, own} {
		sum := sha256.Sum256(part)
		_, _ = mac.Write(sum[:])
	}
	return mac.Sum(nil)
}

func send(conn net.Conn, m proto.Message) error {
	_, err := protodelim.MarshalTo(conn, m)
	return errors.Wrap(err, "send hello")
}

func receive(conn net.Conn) (*peerpb.Hello, error) {
	m := &peerpb.Hello{}
	options := protodelim.UnmarshalOptions{MaxSize: maxHello}
	if err := options.UnmarshalFrom(&byteReader{conn}, m); err != nil {
		return nil, errors.Wrap(err, "receive hello")
	}
	if len(m.GetNonce()) != nonceBytes {
		return nil, errors.New("receive hello: the nonce has a wrong length")
	}
	return m, nil
}

// byteReader reads no more than asked for, so that nothing of the following session is swallowed.
type byteReader struct {
	io.Reader
}

// ReadByte returns the next byte.
func (r *byteReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(r.Reader, b[:])
	return b[0], err
}
