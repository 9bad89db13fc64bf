// Package edge runs one VM of the fleet: it connects the gateway, the fleet membership and the leader role to the network and to the
// platform's store.
package edge
