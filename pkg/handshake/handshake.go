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
	// maxHelloBytes limits the memory that an unauthenticated sender can make this VM allocate.
	maxHelloBytes = 4096
	timeout       = time.Second

	roleDial   = "dial"
	roleAccept = "accept"
)

// ErrRefused is returned when the proof of the other VM does not match the shared secret.
var ErrRefused = errors.New("the other VM does not have the fleet's shared secret")

// Handshake authenticates connections with the shared secret.
type Handshake struct {
	secret []byte
	self   azuretiller.VM
}

// New returns a handshake that authenticates as the VM self.
func New(secret []byte, self azuretiller.VM) *Handshake {
	return &Handshake{secret: secret, self: self}
}

// Dial runs the handshake on the side that opened the connection and returns the ID of the other VM.
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

// Accept runs the handshake on the side that accepted the connection and returns the ID of the other VM.
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
	reply, err := receive(conn)
	if err != nil {
		return "", err
	}
	if !hmac.Equal(reply.GetProof(), h.proof(roleDial, theirs.GetVm(), mine.GetNonce(), theirs.GetNonce())) {
		return "", ErrRefused
	}
	return azuretiller.VMID(theirs.GetVm()), errors.Wrap(conn.SetDeadline(time.Time{}), "clear handshake deadline")
}

func (h *Handshake) hello() (*peerpb.Hello, error) {
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return nil, errors.Wrap(err, "generate nonce")
	}
	return &peerpb.Hello{Vm: string(h.self.ID), Incarnation: uint64(h.self.Incarnation), Nonce: nonce}, nil
}

// proof returns the HMAC by which a VM shows that it has the secret. The challenge is the nonce of the VM that verifies the
// proof, and own is the nonce of the VM that makes it. Because of the role, no VM accepts a proof of its own.
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
	options := protodelim.UnmarshalOptions{MaxSize: maxHelloBytes}
	if err := options.UnmarshalFrom(&byteReader{conn}, m); err != nil {
		return nil, errors.Wrap(err, "receive hello")
	}
	if len(m.GetNonce()) != nonceBytes {
		return nil, errors.New("receive hello: nonce length is not 32 bytes")
	}
	return m, nil
}

// byteReader reads without a buffer, so that no bytes of the session after the handshake are consumed.
type byteReader struct {
	io.Reader
}

// ReadByte returns the next byte.
func (r *byteReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(r.Reader, b[:])
	return b[0], err
}
