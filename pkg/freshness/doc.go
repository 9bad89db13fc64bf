// Package freshness tracks how long ago a VM's view of the log was known to be complete,
// and whether the log is out for every VM.
package freshness
