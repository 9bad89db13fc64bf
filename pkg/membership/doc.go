// Package membership detects which VMs of the roster are down. Each VM sends heartbeats to a fixed number of subjects and
// accuses a subject that does not answer. A VM is down when a quorum of its observers accuses it.
package membership
