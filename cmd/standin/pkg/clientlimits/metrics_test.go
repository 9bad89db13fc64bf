package clientlimits

import (
	"io"
	"net"
	"strconv"
	"testing"
)

// metricsPort is the port of the metrics of "azuretiller edge".
const metricsPort = 18064

// TestHeadsToMetricsListener guards against heads of many lines, over the limit and without an end on the listener for metrics.
func TestHeadsToMetricsListener(t *testing.T) {
	p := startProcess(t, maxFds, servers, "--metrics-port", strconv.Itoa(metricsPort))
	load{address: address(metricsPort), connections: 600, send: func(conn net.Conn, number int) {
		start := "GET /metrics HTTP/1.1\r\nHost: " + host + "\r\n"
		switch number % 3 {
		case 0:
			_, _ = io.WriteString(conn, formatHead(start, number/3, legalSize)+"\r\n")
		case 1:
			_, _ = io.WriteString(conn, formatHead(start, number/3, 60<<10))
		default:
			_, _ = io.WriteString(conn, start)
			writeEndlessly(conn, "a:\n")
		}
	}}.run(t, p)
	p.check(t)
}

// TestIdleConnectionsToMetricsListener guards against idle connections to the listener for metrics that exhaust the descriptors.
func TestIdleConnectionsToMetricsListener(t *testing.T) {
	p := startProcess(t, fewFds, servers, "--metrics-port", strconv.Itoa(metricsPort))
	load{address: address(metricsPort), connections: 1200, send: sendIdle}.run(t, p)
	p.check(t)
}
