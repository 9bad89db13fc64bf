// Package leader makes the fleet-wide decisions on the VM that leads: which backend server gets a request, whether a team is
// within its rate, and which VMs are members. It is a reducer without clock and I/O: callers pass in the time and carry out the
// returned effects.
package leader
