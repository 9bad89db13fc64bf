// Package httpserve serves HTTP until the server is closed.
package httpserve
