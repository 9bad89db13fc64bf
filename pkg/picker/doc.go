// Package picker chooses, at an entry VM, the pools that a request is offered to.
package picker
