// Package pipeline serves idempotent requests that a caller sends on a connection before earlier ones have been answered, and returns the
// responses in the order of the requests.
package pipeline
