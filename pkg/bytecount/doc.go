// Package bytecount counts the bytes transferred over network connections.
package bytecount
