// Package replay buffers small request bodies so that they can be sent again in a retry.
package replay
