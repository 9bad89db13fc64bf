// Package membership detects which VMs of the roster are down. Each VM sends heartbeats to a few other VMs, its subjects, and
// accuses a subject that does not answer. A VM is down when a quorum of its observers accuses it.
package membership
