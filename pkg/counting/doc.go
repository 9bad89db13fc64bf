// Package counting counts the bytes transferred over network connections.
package counting
