// Package httpserve runs an HTTP server until it is closed.
package httpserve
