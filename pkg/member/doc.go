// Package member is a VM's part in leader election and membership: which VM leads, whether the leader answers heartbeats, and
// when this VM claims leadership. It is a reducer without clock and I/O: callers pass in the time and carry out the returned
// effects.
package member
