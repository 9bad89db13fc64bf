// Package replay lets a request body be read once more for a retry while it is small.
package replay
