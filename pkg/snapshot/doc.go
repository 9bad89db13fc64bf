// Package snapshot defines the immutable state that the control goroutine publishes to the goroutines that serve requests.
package snapshot
