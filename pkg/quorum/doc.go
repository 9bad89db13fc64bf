// Package quorum determines when a majority of the VMs has applied a version of the state. During an outage of the
// log, a VM that has not applied that version can then no longer find a majority that has not applied it either, so it
// stops using older versions.
package quorum
