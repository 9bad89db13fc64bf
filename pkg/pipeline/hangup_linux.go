package pipeline

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// hasHungUp reports whether the caller closed its sending side or reset the connection, also if bytes before that have not been read.
func hasHungUp(socket net.Conn) bool {
	s, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	hungUp := false
	err = raw.Control(func(fd uintptr) {
		events := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(events, 0)
		hungUp = err == nil && n > 0 && events[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return err == nil && hungUp
}
