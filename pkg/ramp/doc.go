// Package ramp implements slow start for backend servers: it limits the concurrent requests of a cold server and raises
// the limit by one each time the server's latency has stopped falling.
package ramp
