// Package resetconn provides connections on which a reset never looks like the end of the peer's data.
//
// The kernel reports a reset to one system call only. If a write receives the error, later reads return io.EOF. On Linux, a reset that
// follows the end of the peer's data is reported as EPIPE instead of ECONNRESET.
package resetconn
