// Package counting counts the bytes that pass over connections.
package counting
