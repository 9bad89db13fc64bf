// Package leader makes the decisions that the whole fleet shares, on the one VM that leads: which backend server gets a
// request, whether a team is within its rate, and which VMs are there. It is a reducer without clock and I/O.
package leader
