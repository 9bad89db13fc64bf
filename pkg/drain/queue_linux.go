package drain

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// hasQueued reports whether the kernel has opened a connection that has not been accepted.
func hasQueued(l net.Listener) bool {
	s, ok := l.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	queued := false
	err = raw.Control(func(fd uintptr) {
		events := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(events, 0)
		queued = err == nil && n > 0 && events[0].Revents&unix.POLLIN != 0
	})
	return err == nil && queued
}
