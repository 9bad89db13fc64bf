// Package replay buffers request bodies, up to a limit, so that they can be sent again in a retry.
package replay
