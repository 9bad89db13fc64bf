// Package member is each VM's side of the fleet: which VM leads, whether this one is in touch with it, and when to claim
// the lead. It is a reducer without clock and I/O.
package member
