package connlimit

import (
	"io"
	"net"
	"time"

	"github.com/azuretiller/azuretiller/pkg/headlimit"
)

const (
	// tooLarge is the response to a head over the limit.
	tooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	// unavailable may promise that the request does not run, since its head never reaches net/http, or not to its end.
	unavailable = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	// refuseTimeout bounds the time to write a refusal.
	refuseTimeout = 200 * time.Millisecond
	// firstHeadTimeout bounds the time for the head of a request that is refused in any case.
	firstHeadTimeout = time.Second
)

// refuseFirst reads the first head of a connection, up to a limit in bytes, and refuses the request. A response before the request would not be
// expected.
func refuseFirst(nc net.Conn, limit int) {
	_ = nc.SetReadDeadline(time.Now().Add(firstHeadTimeout))
	var head headlimit.Counter
	buffer := make([]byte, readBuffer)
	for !head.Ended() && head.Bytes() <= limit {
		n, err := nc.Read(buffer)
		if err != nil {
			return
		}
		head.Add(buffer[:n])
	}
	_ = nc.SetWriteDeadline(time.Now().Add(refuseTimeout))
	_, _ = io.WriteString(nc, unavailable)
}
