// Package snapshot holds the immutable state that the control goroutine publishes to traffic.
package snapshot
