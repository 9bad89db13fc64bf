// Package settlement finds out when most VMs know a version of the state, so that those that do not cannot go on without it.
package settlement
