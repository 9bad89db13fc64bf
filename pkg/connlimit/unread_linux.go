package connlimit

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// hasUnread reports whether the client has sent bytes that wait in the socket below a connection.
func hasUnread(nc net.Conn) bool {
	for {
		switch c := nc.(type) {
		case syscall.Conn:
			return socketHasUnread(c)
		case interface{ NetConn() net.Conn }:
			nc = c.NetConn()
		default:
			return false
		}
	}
}

func socketHasUnread(s syscall.Conn) bool {
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	err = raw.Control(func(fd uintptr) {
		n, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return err == nil && unread
}
