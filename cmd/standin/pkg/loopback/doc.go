// Package loopback assigns loopback addresses to the VMs of a test, so that tests in different processes can run in parallel
// on one host.
package loopback
