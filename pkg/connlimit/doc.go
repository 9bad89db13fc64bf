// Package connlimit limits the connections of an HTTP server: their number, the time for a head or without one, and the memory of all heads.
package connlimit
