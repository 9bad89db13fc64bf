// Package freshness tracks when a VM's view of the log was last known to be complete, and when VMs last failed to read the
// log.
package freshness
